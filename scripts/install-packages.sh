#!/usr/bin/env bash
# Installs the Debian packages of scripts/packages.txt that are missing.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t packages < scripts/packages.txt
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}"
