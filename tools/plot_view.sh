#!/usr/bin/env bash
# Plots a table of pearspar-measure-view (--csv FILE): detection and bytes at rest by size, false removals by loss.
#   tools/plot_view.sh FILE FOLDER     needs gnuplot (Debian: gnuplot-nox)
set -euo pipefail
[ $# -eq 2 ] || { echo "usage: plot_view.sh FILE FOLDER" >&2; exit 2; }
command -v gnuplot >/dev/null || { echo "plot_view.sh: gnuplot is missing (Debian: gnuplot-nox)" >&2; exit 1; }
[ -r "$1" ] || { echo "plot_view.sh: $1 cannot be read" >&2; exit 1; }
mkdir -p "$2"
part=$(mktemp -d)
trap 'rm -rf "$part"' EXIT
rows() { awk -F, -v way="$1" -v loss="$2" -v slow="$3" 'NR>1 && $1==way && $3==loss && $4==slow' "$4"; }
for way in view plain-swim heartbeats; do
  rows "$way" 0 0 "$1" | sort -t, -k2n >"$part/$way.size"
  awk -F, -v way="$way" 'NR>1 && $1==way && $2==100 && $4==0 {print $3","$8/$9}' "$1" | sort -t, -k1n >"$part/$way.loss"
done
gnuplot <<GNUPLOT
set datafile separator ","
set terminal svg size 640,400
set key left top
set grid
set logscale x
set xlabel "brokers"
set output "$2/view-detect.svg"
set ylabel "seconds until all know of a crash, mean with 95 % interval"
plot for [w in "view plain-swim heartbeats"] "$part/".w.".size" using 2:5:6 with yerrorlines title w
set logscale y
set output "$2/view-bytes.svg"
set ylabel "bytes a second of one broker at rest"
plot for [w in "view plain-swim heartbeats"] "$part/".w.".size" using 2:10 with linespoints title w
unset logscale x
set output "$2/view-removals.svg"
set xlabel "share of datagrams lost, 100 brokers"
set ylabel "live brokers removed, an hour of a broker (none is not drawn)"
plot for [w in "view plain-swim heartbeats"] "$part/".w.".loss" using 1:2 with linespoints title w
GNUPLOT
echo "$2: view-detect.svg view-bytes.svg view-removals.svg"
