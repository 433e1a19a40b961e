#!/bin/bash
# Builds the stand-ins that the scripts of the cases start. It needs no network: they use the standard library alone.
set -e
cd "$(dirname "$0")/standin"
mkdir -p ../bin
go build -o ../bin/standin . >../bin/build.log 2>&1 || { tail -5 ../bin/build.log; exit 1; }
