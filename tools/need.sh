#!/usr/bin/env bash
# Installs from Debian what building, tests and the quick start need and this machine lacks.
set -euo pipefail
missing=()
for pair in g++:g++ cmake:cmake make:make pkg-config:pkg-config clang-format:clang-format clang-tidy-16:clang-tidy-16 protoc:protobuf-compiler; do
  command -v "${pair%%:*}" >/dev/null || missing+=("${pair##*:}")
done
for pair in gtest/gtest.h:libgtest-dev CLI/CLI.hpp:libcli11-dev fmt/format.h:libfmt-dev \
  spdlog/spdlog.h:libspdlog-dev absl/strings/escaping.h:libabsl-dev \
  google/protobuf/text_format.h:libprotobuf-dev nlohmann/json.hpp:nlohmann-json3-dev \
  boost/histogram.hpp:libboost-dev boost/math/distributions.hpp:libboost-math-dev xxhash.h:libxxhash-dev benchmark/benchmark.h:libbenchmark-dev \
  popt.h:libpopt-dev easylogging++.h:libeasyloggingpp-dev cjson/cJSON.h:libcjson-dev toml++/toml.h:libtomlplusplus-dev \
  msgpack.h:libmsgpack-dev lmdb.h:liblmdb-dev prometheus/registry.h:prometheus-cpp-dev cppunit/TestCase.h:libcppunit-dev; do
  [ -e "/usr/include/${pair%%:*}" ] || missing+=("${pair##*:}")
done
[ ${#missing[@]} -gt 0 ] || exit 0
echo "installing ${missing[*]}"
as_root=()
[ "$(id -u)" -eq 0 ] || as_root=(sudo)
"${as_root[@]}" apt-get update -qq
"${as_root[@]}" env DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}" >/dev/null
