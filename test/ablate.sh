#!/usr/bin/env bash
# Plays days with one mechanism off at a time and prints the worth of each.
#
#   test/ablate.sh FLEETBENCH SCRATCH SITE DAY[@SEED]...
#
# SCRATCH is a folder for a copy of the sources; DAY is a day's name or a file.
# Each line gives the mechanism, the day, the worth and the share served.
set -euo pipefail
bench=$1 scratch=$2 site=$3
shift 3
top=$(git rev-parse --show-toplevel)
mechanisms=$(sed -n 's/^\t[A-Z][A-Za-z]* *Name = "\(.*\)"$/\1/p' "$top/internal/mechanism/mechanism.go")

# play MECHANISM DAY: plays a day without a mechanism; "none" is with all.
play() {
  local off=$1 day=${2%@*} seed=() copy="$scratch/$1"
  [[ $2 == *@* ]] && seed=(--seed "${2#*@}")
  if [ ! -d "$copy" ]; then
    git clone -q "$top" "$copy"
    [ "$off" = none ] || echo "without: \"$off\"" >>"$copy/deploy/balancer.yaml"
  fi
  local out
  out=$(cd "$copy" && "$bench" run "$site" "$day" "${seed[@]}" --no-cpu --jobs 1 --report "$copy.json" \
    --why "Ablation: without $off" 2>&1) || { echo "$off $2 failed: $(tail -1 <<<"$out")"; return; }
  echo "$off $2 $(sed -n 's/^  "G": \([0-9.]*\),$/\1/p' "$copy.json" | head -1) $(sed -n 's/^  "served": \([0-9.]*\),$/\1/p' "$copy.json" | head -1)"
}
export -f play
export bench scratch site top

# One mechanism's days one after the other, some mechanisms at a time.
for off in none $mechanisms; do echo "$off"; done |
  xargs -P "${ABLATE_JOBS:-3}" -I{} bash -c 'off=$1; shift; for day; do play "$off" "$day"; done' _ {} "$@"
