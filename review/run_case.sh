# Runs a case: sh run_case.sh FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
review=$(cd "$(dirname "$0")" && pwd)
PYTHONPATH="$review" PYTHONDONTWRITEBYTECODE=1 timeout -k 5 115 python3 "$review/$1/case.py" "$review/$1/record.txt"
status=$?
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
