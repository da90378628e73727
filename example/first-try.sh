#!/usr/bin/env bash
# Starts a minimal engine with an event bus and one dispatcher on loopback, sends a query, prints the
# dispatcher's counters, and stops all of them.
set -eu
cd "$(dirname "$0")/.."
java example/Toy.java &
toy=$!
GW_CONFIG=example/config.json java -jar target/cobaltseam.jar serve &
dispatcher=$!
trap 'kill "$dispatcher" "$toy" 2>/dev/null; wait' EXIT
java example/Query.java 5050 \
    "/* op=lookup,call=9b1f03aa5c7e2d41,ttl=1500 */ SELECT day FROM sales_17.orders" \
    "SHOW cobaltseam.counters"
