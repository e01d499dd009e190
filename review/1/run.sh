#!/bin/sh
# Usage: [TROUBLE=0] sh review/1/run.sh
exec sh "$(dirname "$0")/../run_case.sh" 1
