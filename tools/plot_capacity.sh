#!/usr/bin/env bash
# Draws the curves of docs/CAPACITY.md from the figures in docs/capacity.
#   tools/plot_capacity.sh PROGRAM [FOLDER]     needs gnuplot (Debian: gnuplot-nox)
set -euo pipefail
[ $# -ge 1 ] || { echo "usage: plot_capacity.sh PROGRAM [FOLDER]" >&2; exit 2; }
command -v gnuplot >/dev/null || { echo "plot_capacity.sh: gnuplot is missing (Debian: gnuplot-nox)" >&2; exit 1; }
folder=${2:-docs/capacity}
part=$(mktemp -d)
trap 'rm -rf "$part"' EXIT
"$1" --figures "$folder" --points "$part"
# What was not measured at any size stands as no point.
for key in cold.to_edges.bytes election.to_edges.bytes change.to_edges.bytes cold.leader_peak_mb election.leader_peak_mb \
  rest.edge_mb rest.leader_cpu_s rest.other_cpu_s; do
  for series in wire slow; do [ -s "$part/$series.$key" ] || echo "1 NaN" >"$part/$series.$key"; done
done
gnuplot <<GNUPLOT
set terminal svg size 640,400 background rgb "white"
set key left top
set grid
set logscale xy
set xlabel "edges (5.7 index servers to each, 16,000 at the most)"
set output "$folder/bytes.svg"
set ylabel "bytes to all edges, three members"
plot "$part/wire.cold.to_edges.bytes" with linespoints title "cold start, beats of 1.2 s", "$part/slow.cold.to_edges.bytes" with linespoints title "cold start, 20 s", "$part/slow.election.to_edges.bytes" with linespoints title "election", "$part/slow.change.to_edges.bytes" with linespoints title "five configurations"
set output "$folder/memory.svg"
set ylabel "MB"
plot "$part/slow.cold.leader_peak_mb" with linespoints title "leader, cold start", "$part/slow.election.leader_peak_mb" with linespoints title "leader, election", "$part/slow.rest.edge_mb" with linespoints title "an edge", 256 title "budget"
set output "$folder/processor.svg"
set ylabel "cores at rest"
plot "$part/wire.rest.leader_cpu_s" with linespoints title "leader, beats of 1.2 s", "$part/slow.rest.leader_cpu_s" with linespoints title "leader, 20 s", "$part/slow.rest.other_cpu_s" with linespoints title "another member", 1 title "one loop"
set output "$folder/turns.svg"
set xlabel "connections that say nothing"
set ylabel "a turn of the loop, us of processor"
plot "$part/turns" with linespoints notitle
unset logscale
set output "$folder/orders.svg"
set style data histograms
set style fill solid 0.7
set xlabel "region of the leader"
set ylabel "ms until acknowledged, p50, no loss"
set yrange [0:*]
plot "$part/orders.0" using 2:xtic(1) title "order from A", "" using 4 title "from B", "" using 6 title "from C", "" using 8 title "from D", "" using 10 title "in force everywhere"
GNUPLOT
echo "$folder: bytes.svg memory.svg processor.svg turns.svg orders.svg"
