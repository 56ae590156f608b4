#!/usr/bin/env bash
# Checks the specifications with Spin. Each must hold as a whole, and each of
# its guards must matter: with the guard removed, Spin must find a violation.
# Prints the states explored and fails when a search was cut short.
set -euo pipefail
cd "$(dirname "$0")"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
failures=0

# run MODEL FLAGS: prints "ERRORS STATES COMPLETE".
run() {
  local model=$1 flags=$2 dir
  dir=$(mktemp -d -p "$work")
  cp "$model.pml" "$dir/"
  (cd "$dir" && spin $flags -a "$model.pml" >spin.out 2>&1 && gcc -w -O2 -DSAFETY -DMEMLIM=4096 -o pan pan.c && timeout 120 ./pan -E -m200000 >pan.out 2>&1) || { tail -n 5 "$dir"/spin.out "$dir"/pan.out >&2 || true; echo "- - no"; return; }
  local errors states complete=yes
  errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' "$dir/pan.out")
  states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' "$dir/pan.out" | head -1)
  if grep -qE 'Search not completed|max search depth too small|out of memory' "$dir/pan.out"; then complete=no; fi
  echo "$errors ${states%.*} $complete"
}

# holds MODEL: the whole specification has no violation, in a complete search.
holds() {
  read -r errors states complete < <(run "$1" "")
  if [ "$errors" = 0 ] && [ "$complete" = yes ]; then
    echo "model $1: holds ($states states)"
  else
    echo "model $1: FAILED (errors $errors, complete $complete)"; failures=$((failures + 1))
  fi
}

# caught MODEL GUARD...: without the guard there is a violation.
caught() {
  local model=$1 guard; shift
  for guard in "$@"; do
    read -r errors states complete < <(run "$model" "-D$guard")
    if [[ "$errors" =~ ^[1-9] ]]; then
      echo "model $model -D$guard: violation found, as it must be ($states states)"
    else
      echo "model $model -D$guard: NOT CAUGHT ($states states)"; failures=$((failures + 1))
    fi
  done
}

holds binding
caught binding NO_WAIT NO_BIND NO_EMBRYONIC NO_RECORD NO_FILTER NO_REPLICATE NO_QUIESCE
holds leaving
caught leaving NO_WAIT NO_BIND NO_EMBRYONIC
holds configuration
caught configuration NO_OPERATION_ID NO_COMPARE
holds joining
caught joining NO_MAJORITY NO_BEHIND NO_COUNT
holds release
caught release NO_ACKNOWLEDGE
holds fence
caught fence NO_STOP NO_HOLD_BACK NO_FENCE_KNOWN

holds directory
caught directory NO_LATE NO_BETWEEN NO_COMPARE NO_TOMBSTONE_RULE

holds eras
caught eras NO_ERA NO_VERSION NO_WATCH_ERA

holds evidence
caught evidence NO_PROMPT NO_ZONE NO_NUMBER NO_CLOCK NO_COMPARE_PROVEN ONE_CLIENT

holds knowledge
caught knowledge NO_TELLING_BACK NO_SEEKING

holds members
caught members NO_SHOW_AGAIN NO_MISSING NO_COMPARE_ENTRY

holds demand
caught demand NO_WAIT NO_START_WAIT NO_REST NO_CLOCK NO_END

if [ "$failures" != 0 ]; then echo "model check: $failures failed"; exit 1; fi
echo "model check: all hold, all mutants caught"
