#!/usr/bin/env bash
# Writes the committed Go code again. Needs protoc, protoc-gen-go and
# protoc-gen-connect-go on the path; building and testing need none of them.
set -euo pipefail
cd "$(dirname "$0")"
protoc -I proto \
  --go_out=. --go_opt=module=cicadagrade.example/api \
  --connect-go_out=. --connect-go_opt=module=cicadagrade.example/api \
  $(cd proto && find . -name '*.proto' | sed 's,^\./,,' | sort)
