#!/bin/sh
# Installs the libraries and this project's packages into target/deps.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/deps
cat constraints.txt deploy/requirements.txt > target/wanted.txt
if ! cmp -s target/wanted.txt target/installed.txt; then
    rm -rf target/deps
    python3 -m pip install -qq --disable-pip-version-check \
        --target target/deps -c constraints.txt -r deploy/requirements.txt
    cp target/wanted.txt target/installed.txt
fi
rm -rf target/deps/bulrushcourse_*
for package in domain wire entry; do
    cp -r packages/$package/bulrushcourse_$package target/deps/
done
find target/deps/bulrushcourse_* -depth -type d \
    \( -name tests -o -name __pycache__ \) -exec rm -r {} +
# Processes cannot write here, so that each start would compile the sources.
python3 -m compileall -q target/deps
