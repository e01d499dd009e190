#!/bin/sh
# Installs third-party libraries and the project's own packages in target/deps.
# The libraries are installed again only when requirements.txt has changed.
set -eu
cd "$(dirname "$0")/.."
deps=target/deps
if ! cmp -s requirements.txt target/requirements.txt; then
    rm -rf "$deps"
    mkdir -p target
    sed "/^# Development tools/,\$d" requirements.txt > target/runtime.txt
    python3 -m pip install -q --disable-pip-version-check -U \
        --target "$deps" -r target/runtime.txt
    cp requirements.txt target/requirements.txt
fi
for package in packages/geraniumhall-core packages/geraniumhall-wire \
    packages/geraniumhall-net packages/geraniumhall-daemon platform; do
    for module in "$package"/src/*/; do
        name=$(basename "$module")
        rm -rf "$deps/$name"
        cp -R "$module" "$deps/$name"
    done
done
