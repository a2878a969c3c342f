#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They are plain JavaScript for the Node.js of the project and use no package, so this
# only checks that each of them can be loaded. The program itself comes from the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand-ins/*.mjs */play.mjs; do node --check "$file"; done
