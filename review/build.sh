#!/usr/bin/env bash
# Builds the stand-ins and callers that the scripts of the cases start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -trimpath -o review/bin/ ./review/scene
