#!/usr/bin/env bash
# Put what the programs import under target/deps, byte-compiled: the root is
# read-only when they run, and each start would pay for compiling again.
set -euo pipefail
cd "$(dirname "$0")/.."
stamp=target/requirements.txt
mkdir -p target
cat deploy/requirements.txt constraints.txt > target/wanted.txt
if ! cmp -s target/wanted.txt "$stamp"; then
    rm -rf target/deps
    python3 -m pip install --quiet --disable-pip-version-check \
        --target target/deps -c constraints.txt -r deploy/requirements.txt
    mv target/wanted.txt "$stamp"
fi
for package in hornbeampaddle hornbeampaddle-wire hornbeampaddle-cell; do
    module=${package//-/_}
    rm -rf "target/deps/$module"
    cp -r "packages/$package/$module" target/deps/
done
python3 -m compileall -q -j 0 target/deps
python3 -m compileall -q platform
