# Sourced by scripts that run a small fleet on loopback: starts processes, ends all of them with the script, and starts
# the platform stand-in with the example lists. Sets $work and $platform.
work=$(mktemp -d)
processes=()
stop() {
  for process in "${processes[@]}"; do kill "$process" 2>/dev/null || true; done
  for process in "${processes[@]}"; do wait "$process" 2>/dev/null || true; done
  rm -rf "$work"
}
trap stop EXIT

start() {
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  processes+=("$!")
}

start platform bin/quetzalfield-standins platform --address-file "$work/platform"
for _ in $(seq 200); do [ -s "$work/platform" ] && break; sleep 0.1; done
platform=$(cat "$work/platform")

bin/quetzalfield apply --platform "$platform" --plans examples/lists/plans.yaml --models examples/lists/models.yaml
