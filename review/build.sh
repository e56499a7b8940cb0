#!/bin/sh
# Builds the stand-ins and the drivers of all cases.
set -e
cd "$(dirname "$0")/.."
go build -buildvcs=false -o review/bin/cases ./review/_cases
