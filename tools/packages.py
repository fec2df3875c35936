#!/usr/bin/env python3
"""Compares `packages` of deploy/system.toml with what CMakeLists.txt asks for where the system alone is built.

Status 0: both name the same Debian packages; 1: not so, a line for each that is missing or not needed;
2: CMakeLists.txt asks for something that no package is known for here.
"""
import re
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TOOLS = {"cmake", "g++", "make", "pkg-config"}
# What CMake names, or a header that a source includes, and the package that brings it.
PACKAGE_OF = {
    "fmt": "libfmt-dev",
    "PkgConfig": "pkg-config",
    "prometheus-cpp": "prometheus-cpp-dev",
    "libcjson": "libcjson-dev",
    "lmdb": "liblmdb-dev",
    "msgpack": "libmsgpack-dev",
    "popt": "libpopt-dev",
    "libxxhash": "libxxhash-dev",
    "easylogging++.h": "libeasyloggingpp-dev",
    "toml++/toml.h": "libtomlplusplus-dev",
}
# Options that the build command of the deploy file leaves off, or turns off.
OFF = {"PEARSPAR_BROKER", "PEARSPAR_STANDINS", "PEARSPAR_TESTS"}


def asked_of_cmake(text):
    """Names in find_package and pkg_check_modules outside blocks of options that are off."""
    names, skipped = set(), []
    for line in text.splitlines():
        line = line.split("#")[0].strip()
        if line.startswith("if("):
            skipped.append(any(re.search(rf"(?<!NOT )\b{option}\b", line) for option in OFF))
        elif line.startswith("endif"):
            skipped.pop()
        elif not any(skipped):
            if found := re.match(r"find_package\(([\w-]+)", line):
                names.add(found[1])
            if found := re.match(r"pkg_check_modules\(\w+ REQUIRED IMPORTED_TARGET ([\w-]+)\)", line):
                names.add(found[1])
    return names


def asked_of_headers():
    """Headers without a library that CMake would name."""
    names = set()
    for path in sorted((ROOT / "src").rglob("*")):
        if path.suffix in (".h", ".cpp"):
            included = re.findall(r"#include <([^>]+)>", path.read_text())
            names.update(header for header in included if header in PACKAGE_OF)
    return names


def main():
    cmake = (ROOT / "CMakeLists.txt").read_text()
    deploy = (ROOT / "deploy/system.toml").read_text()
    asked = asked_of_cmake(cmake) | asked_of_headers()
    unknown = sorted(asked - PACKAGE_OF.keys())
    if unknown:
        print(f"packages: no package is known here for {', '.join(unknown)} (tools/packages.py, PACKAGE_OF)")
        return 2
    wanted = TOOLS | {PACKAGE_OF[name] for name in asked}
    listed = re.search(r"^packages = \[(.*)\]$", deploy, re.M)
    named = set(re.findall(r'"([^"]+)"', listed[1])) if listed else set()
    for package in sorted(wanted - named):
        print(f"packages: deploy/system.toml does not name {package}, which a clean build needs")
    for package in sorted(named - wanted):
        print(f"packages: deploy/system.toml names {package}, which nothing asks for")
    return 0 if wanted == named else 1


if __name__ == "__main__":
    sys.exit(main())
