#!/bin/sh
# Installs the libraries and the program in target/deps, which is on the import path.
set -eu
deps=target/deps
# Compiled libraries serve one kind of processor and one version of Python.
kind=$(python3 -c 'import sysconfig; print(sysconfig.get_config_var("EXT_SUFFIX"))')
if [ ! "$deps/.installed" -nt pyproject.toml ] || [ "$(cat "$deps/.installed")" != "$kind" ]; then
    rm -rf "$deps"
    mkdir -p "$deps"
    python3 deploy/requirements.py > target/requirements.txt
    python3 -m pip install -q --disable-pip-version-check --no-warn-script-location \
        -U --target "$deps" -r target/requirements.txt
    python3 -m compileall -q "$deps" || true
    echo "$kind" > "$deps/.installed"
fi
# Running processes read these files when they restart. So the new folder is prepared
# aside and moved into place, and only if a file has changed.
if ! diff -rq -x __pycache__ src/geraniumbend "$deps/geraniumbend" > /dev/null 2>&1; then
    rm -rf target/next target/last
    cp -r src/geraniumbend target/next
    python3 -m compileall -q -s target/next -p "$deps/geraniumbend" target/next
    if [ -d "$deps/geraniumbend" ]; then
        mv "$deps/geraniumbend" target/last
    fi
    mv target/next "$deps/geraniumbend"
fi
