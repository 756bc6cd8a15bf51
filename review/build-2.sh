#!/bin/sh
# Prepares what the scripts of cases 6 to 10 start. The stand-ins use the standard
# library only, so this checks that they compile and that the gateway can be started.
cd "$(dirname "$0")/.." || exit 1
[ -d target/deps/skylarkcart ] || {
    echo "target/deps is missing: run the build of deploy/system.toml first"
    exit 1
}
for file in review/standins_2.py review/6/case.py review/7/case.py review/8/case.py \
    review/9/case.py review/10/case.py; do
    [ -e "$file" ] || continue
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" || exit 1
done
PYTHONPATH=target/deps python3 -B -c "import skylarkcart.gateway.main"
