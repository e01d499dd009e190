#!/bin/sh
# Installs third-party libraries and the project's own packages in target/deps.
# The libraries are installed again only when requirements.txt has changed. Processes
# may start from target/deps meanwhile, so no package of ours lacks there at any moment.
set -eu
cd "$(dirname "$0")/.."
deps=target/deps

place() {
    for package in packages/geraniumhall-core packages/geraniumhall-wire \
        packages/geraniumhall-net packages/geraniumhall-daemon platform; do
        python3 tools/place_build.py "$package"/src/*_*/ "$1"
    done
}

if ! cmp -s requirements.txt target/requirements.txt; then
    new=target/deps.$$
    mkdir -p target
    sed "/^# Development tools/,\$d" requirements.txt > target/runtime.txt
    python3 -m pip install -q --disable-pip-version-check -U \
        --target "$new" -r target/runtime.txt
    place "$new"
    if [ -e "$deps" ]; then mv "$deps" "target/replaced.$$"; fi
    mv "$new" "$deps"
    rm -rf "target/replaced.$$"
    cp requirements.txt target/requirements.txt
fi
place "$deps"
