#!/usr/bin/env python3
"""Takes each guard of tests/system/guards.txt out of a copy of the sources; runs the tests that must fail.

Status 0: they pass with all guards in, and each guard out is seen by every test that it names; 1: not so;
2: an entry does not match the sources exactly once, or does not read.
"""
import argparse
import filecmp
import os
import queue
import re
import shlex
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TESTS = "pearspar_system_tests"


class Guard:
    def __init__(self, name):
        self.name, self.point, self.invariant, self.file = name, "", "", ""
        self.runs, self.changes, self.saw, self.seen = [], [], [], False


def read(path):
    """Blocks, as the head of guards.txt says."""
    guards, line_before = [], ""
    for number, line in enumerate(path.read_text().splitlines(), 1):
        word, _, rest = line.partition(" ")
        guard = guards[-1] if guards else None
        if not line or word == "#":
            pass
        elif word == "guard" and rest not in [g.name for g in guards]:
            guards.append(Guard(rest))
        elif guard and word in ("point", "invariant", "file"):
            setattr(guard, word, rest)
        elif guard and word == "-" and guard.file:
            if line_before != "-":
                guard.changes.append((guard.file, [], []))
            guard.changes[-1][1].append(rest)
        elif guard and word == "+" and guard.changes and line_before in "-+":
            guard.changes[-1][2].append(rest)
        elif guard and word == "test":
            guard.runs.append((480, [TESTS, "pearspar::" + rest]))
        elif guard and word == "command":
            bound, *words = shlex.split(rest)
            guard.runs.append((int(bound), words))
        else:
            print(f"{path}:{number}: does not read: {line}")
            sys.exit(2)
        line_before = word
    return guards


def changed(guard, root):
    """The texts of its files without the guard; a word of why where an old text is not there exactly once."""
    texts = {}
    for file, old, new in guard.changes:
        if file not in texts:
            if not (root / file).is_file():
                return None, f"{file} is not there"
            texts[file] = (root / file).read_text()
        found = texts[file].count("\n".join(old))
        if found != 1:
            return None, f"{file}: found {found} times: {old[0].strip()}"
        texts[file] = texts[file].replace("\n".join(old), "\n".join(new))
    whole = texts and guard.runs and guard.point
    return (texts, "") if whole else (None, "changes nothing, or names no test")


def said(words, output, status):
    """What a run that failed said, in one line."""
    lines = [re.sub("[^ -~]+", "?", line.strip()) for line in output.splitlines() if line.strip()]
    at = [re.search(r"(\w+\.cpp):(\d+)", line) for line in lines if "Assertion" in line or "Error" in line]
    found = [f"{at[0][1]}:{at[0][2]}"] if at and at[0] else [] if words[0] == TESTS else lines[:1]
    found += [line.lstrip("- ") for line in lines if line.startswith("- ")][:3]
    if status < 0:
        found.append(f"the process ends ({signal.Signals(-status).name})")
        found += [line for line in lines if "assert" in line.lower() or "what()" in line][:1]
    return "; ".join(found)[:240] or f"status {status}"


def renew(source, target):
    if not os.path.exists(target) or not filecmp.cmp(source, target, shallow=False):
        shutil.copyfile(source, target)


class Tree:
    """A copy of the sources that is built anew after each change."""

    def __init__(self, folder):
        self.root, self.out = folder / "source", folder / "out"
        # A compile cache, where there is one, serves all trees.
        self.environment = {**os.environ, "CCACHE_BASEDIR": str(folder.parent), "CCACHE_NOHASHDIR": "1"}
        shutil.copytree(ROOT, self.root, copy_function=renew, dirs_exist_ok=True,
                        ignore=lambda at, _: ["out", ".git"] if Path(at) == ROOT else [])
        self.call(["cmake", "-S", self.root, "-B", self.out, "-DCMAKE_BUILD_TYPE=None", "-DPEARSPAR_TESTS=ON",
                   "-DCMAKE_CXX_FLAGS=-O1 -DNDEBUG -w", f"-DCMAKE_RUNTIME_OUTPUT_DIRECTORY={self.out}/bin"])

    def call(self, words):
        done = subprocess.run(words, env=self.environment, stdout=subprocess.PIPE, stderr=subprocess.STDOUT,
                              text=True, errors="replace")
        if done.returncode:
            raise RuntimeError("\n".join(line for line in done.stdout.splitlines() if "rror" in line)[:600])

    def write(self, texts):
        for file, text in texts.items():
            (self.root / file).write_text(text)

    def build(self, targets, threads=1):
        self.call(["cmake", "--build", self.out, f"-j{threads}", "--target", *targets])

    def run(self, bound, words):
        try:
            done = subprocess.run([self.out / "bin" / words[0], *words[1:]], cwd=self.root, timeout=bound, text=True,
                                  errors="replace", stdout=subprocess.PIPE, stderr=subprocess.STDOUT)
            return said(words, done.stdout, done.returncode) if done.returncode else None
        except subprocess.TimeoutExpired:
            return f"does not end in {bound} s"

    def try_without(self, guard):
        texts, _ = changed(guard, self.root)
        kept = {file: (self.root / file).read_text() for file in texts}
        try:
            self.write(texts)
            self.build({words[0].replace("-", "_") for _, words in guard.runs})
            guard.saw = [self.run(bound, words) for bound, words in guard.runs]
            guard.seen = all(guard.saw)
        except RuntimeError as error:
            guard.saw = [f"does not build: {error}"] * len(guard.runs)
        finally:
            self.write(kept)


def in_parallel(trees, todo, work):
    """Each of `todo` in a tree that is free; the first error of any comes out of it."""
    free = queue.Queue()
    for tree in trees:
        free.put(tree)

    def one(each):
        tree = free.get()
        try:
            return work(tree, each)
        finally:
            free.put(tree)
    pool = ThreadPoolExecutor(len(trees))
    try:
        return list(pool.map(one, todo))
    finally:
        pool.shutdown(cancel_futures=True)


def table(guards, took):
    rows = ["| guard | point | invariant | keeper | test | seen with the guard out |", "|---" * 6 + "|"]
    for guard in guards:
        keepers = ", ".join(dict.fromkeys(os.path.relpath(file, "src") for file, _, _ in guard.changes))
        for i, (_, words) in enumerate(guard.runs):
            name = words[-1].rsplit("::")[-1] if words[0] == TESTS else " ".join(words)
            saw = (guard.saw[i] or "**not seen**").replace("|", "\\|").replace("\n", " ")
            head = f"| {guard.name} | {guard.point} | {guard.invariant} | {keepers} " if i == 0 else "| " * 4
            rows.append(f"{head}| {name} | {saw} |")
    rows += ["", f"{len(guards)} guards, {sum(guard.seen for guard in guards)} seen, {took:.0f} s.", ""]
    return "\n".join(rows)


def main():
    parse = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parse.add_argument("--jobs", type=int, default=3, help="guards at a time, each in a copy of its own")
    parse.add_argument("--folder", type=Path, help="the copies stay here for the next run")
    parse.add_argument("--only", default="", help="ID,...")
    parse.add_argument("--table", type=Path, help="write the table here")
    parse.add_argument("--list", action="store_true")
    parse.add_argument("--check", action="store_true", help="only that each entry matches the sources")
    asked = parse.parse_args()
    only = asked.only.split(",") if asked.only else []
    guards = read(ROOT / "tests/system/guards.txt")
    guards = [guard for guard in guards if not only or guard.name in only]
    if asked.list:
        return print("\n".join(f"{g.name:5} {g.point:4} {g.invariant}" for g in guards)) or 0
    stale = [f"{name}: no such guard" for name in set(only) - {guard.name for guard in guards}]
    stale += [f"{guard.name}: {why}" for guard in guards if (why := changed(guard, ROOT)[1])]
    print("\n".join(stale + [f"{len(guards)} guards, {len(stale)} stale"]), flush=True)
    if stale or asked.check:
        return 2 if stale else 0
    begun = time.monotonic()
    runs = list({tuple(words): bound for guard in guards for bound, words in guard.runs}.items())
    with tempfile.TemporaryDirectory(prefix="guards.") as folder:
        targets = sorted({words[0].replace("-", "_") for words, _ in runs})
        trees = [Tree((asked.folder or Path(folder)) / str(i)) for i in range(min(asked.jobs, len(guards)))]
        trees[0].build(targets, len(trees))
        in_parallel(trees, trees, lambda _, tree: tree.build(targets))
        # Well under its bound, so that no end within it is the guard's.
        whys = in_parallel(trees, runs, lambda tree, run: tree.run(run[1] / 4, run[0]))
        failed = [f"{' '.join(words)}: {why}" for (words, _), why in zip(runs, whys) if why]
        if failed:
            return print("With all guards in:", *failed, sep="\n") or 1
        print(f"{len(runs)} runs pass with all guards in, {time.monotonic() - begun:.0f} s", flush=True)

        def without(tree, guard):
            tree.try_without(guard)
            what = "; ".join(saw or "NOT SEEN by " + " ".join(run[1]) for saw, run in zip(guard.saw, guard.runs))
            print(f"{guard.name:4} {'seen' if guard.seen else 'OPEN'}  {what}", flush=True)

        # First what is built longest.
        in_parallel(trees, sorted(guards, key=lambda guard: ".h'" not in str(guard.changes)), without)
    written = table(guards, time.monotonic() - begun)
    if asked.table:
        asked.table.write_text(written)
    print(written)
    return 0 if all(guard.seen for guard in guards) else 1


if __name__ == "__main__":
    sys.exit(main())
