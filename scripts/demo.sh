#!/bin/sh
# Starts the platform's stand-ins, four workers and three entry hosts on loopback, publishes the
# sample configuration, submits the same job with the same key to two hosts, and stops the entry
# hosts gracefully. Fails unless the workers count exactly 20 starts for the 20 tasks.
set -eu
bin=build
dir=$(mktemp -d)
pids=""
cleanup() {
    for pid in $pids; do kill "$pid" 2> /dev/null || true; done
    rm -rf "$dir"
}
trap cleanup EXIT

ctl="$bin/egretctl --platform 127.0.0.1:19000 --token operator-token"
host_settings() { # name data_centre http_port peer_port
    cat > "$dir/$1.yaml" << END
name: $1
data_centre: $2
platform: 127.0.0.1:19000
http_port: $3
peer_listen: tcp://127.0.0.1:$4
operator_token_sha256: $($bin/egretctl hash-token operator-token)
log_level: warning
END
}
host_settings jaro-1 jaro-depot 19201 19301
host_settings jaro-2 jaro-depot 19202 19302
host_settings oton-1 oton-yard 19203 19303

$bin/egret-standin platform --port 19000 > /dev/null &
pids="$pids $!"
$bin/egret-standin worker --first-port 19100 --count 4 --slots 8 > /dev/null &
pids="$pids $!"
for try in 1 2 3 4 5 6 7 8 9 10; do
    curl -sf -X PUT 127.0.0.1:19000/v1/hosts > /dev/null -d '{"leaving_workers":[],"hosts":[
      {"name":"jaro-1","data_centre":"jaro-depot","peer_address":"tcp://127.0.0.1:19301","http_address":"127.0.0.1:19201","leaving":false},
      {"name":"jaro-2","data_centre":"jaro-depot","peer_address":"tcp://127.0.0.1:19302","http_address":"127.0.0.1:19202","leaving":false},
      {"name":"oton-1","data_centre":"oton-yard","peer_address":"tcp://127.0.0.1:19303","http_address":"127.0.0.1:19203","leaving":false}]}' && break
    sleep 0.2
done

daemons=""
for host in jaro-1 jaro-2 oton-1; do
    $bin/egretd --settings "$dir/$host.yaml" > "$dir/$host.log" 2>&1 &
    daemons="$daemons $!"
    pids="$pids $!"
done

echo "== publish the sample configuration"
$ctl check conf/sample
$ctl publish conf/sample --wait --author demo
for try in $(seq 50); do
    serving=$($ctl status --json | grep -o '"shards":[0-9]*' | cut -d: -f2 | awk '{s += $1} END {print s + 0}')
    [ "${serving:-0}" = 16 ] && break
    sleep 0.2
done
$ctl status

key=$($bin/egretctl make-key jaro-depot)
echo "== submit 20 tasks to jaro-1 with key $key"
$bin/egretctl submit --platform 127.0.0.1:19000 --host jaro-1 --token crew-token --key "$key" \
    --service lagging-release --tasks 20 --size-ms 100 > "$dir/first.json"
echo "== submit the same to oton-1"
$bin/egretctl submit --platform 127.0.0.1:19000 --host oton-1 --token crew-token --key "$key" \
    --service lagging-release --tasks 20 --size-ms 100 > "$dir/second.json"
cat "$dir/first.json"
cat "$dir/second.json"
cmp "$dir/first.json" "$dir/second.json" && echo "== both answers are equal"
started=0
for port in 19100 19101 19102 19103; do
    count=$(curl -s 127.0.0.1:$port/v1/counts | grep -o '"started":[0-9]*' | cut -d: -f2)
    started=$((started + count))
done
echo "== tasks started by the workers: $started"

echo "== stop the entry hosts gracefully"
for pid in $daemons; do kill -TERM "$pid"; done
for pid in $daemons; do wait "$pid" || { echo "a host did not stop gracefully"; exit 1; }; done
[ "$started" = 20 ] || { echo "expected 20 starts"; exit 1; }
echo "== done"
