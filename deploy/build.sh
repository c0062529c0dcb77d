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
