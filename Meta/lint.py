#!/usr/bin/env python3
"""Runs clang-tidy on sources, except on those whose latest clean run read exactly the same text.

Usage: lint.py [-j JOBS] BUILD_DIRECTORY FILE...

BUILD_DIRECTORY contains compile_commands.json. After a clean run, the cache keeps the list of the files that the compiler
reads for a source and a digest of their contents, of the linter and its configuration, and of the compile command. A source
is linted again when that digest differs. The cache is in $XDG_CACHE_HOME/peridotrun/lint; without it every source is linted.
Exit status: 0 when all sources are clean, 1 otherwise.
"""
import argparse
import concurrent.futures
import functools
import hashlib
import json
import os
import pathlib
import shlex
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
CACHE = pathlib.Path(os.environ.get("XDG_CACHE_HOME") or pathlib.Path.home() / ".cache") / "peridotrun" / "lint"
COMPILER_LAUNCHER = "ccache"


def digest(text):
    return hashlib.sha256(text.encode()).hexdigest()


@functools.lru_cache(maxsize=None)
def content_digest(path):
    """Digest of a file, or None when it does not exist any more."""
    try:
        return hashlib.sha256((ROOT / path).read_bytes()).hexdigest()
    except OSError:
        return None


def portable(path):
    """The path relative to the repository, so that clones share the cache; other paths stay as they are."""
    path = pathlib.Path(os.path.normpath(path))
    return str(path.relative_to(ROOT)) if path.is_relative_to(ROOT) else str(path)


@functools.lru_cache(maxsize=None)
def linter_identity():
    version = subprocess.run(["clang-tidy", "--version"], capture_output=True, text=True, check=True).stdout
    return version + (ROOT / ".clang-tidy").read_text()


class Source:
    """One source file with its compile command."""

    def __init__(self, name, entry):
        self.name = name
        self.directory = entry["directory"]
        words = shlex.split(entry["command"])
        self.words = words[1:] if os.path.basename(words[0]) == COMPILER_LAUNCHER else words
        command = " ".join(self.words).replace(str(ROOT), "")
        self.identity = digest(linter_identity() + name + command)
        self.record = CACHE / self.identity

    def combined_digest(self, files):
        return digest("\n".join(f"{file} {content_digest(file)}" for file in files))

    def is_known_clean(self):
        try:
            known = json.loads(self.record.read_text())
        except (OSError, ValueError):
            return False
        return known["digest"] == self.combined_digest(known["files"])

    def read_files(self):
        """The files that the compiler reads for this source."""
        words = list(self.words)
        output = words.index("-o")
        del words[output:output + 2]
        words[words.index("-c")] = "-M"
        rule = subprocess.run(words, cwd=self.directory, capture_output=True, text=True, check=True).stdout
        names = rule.split(":", 1)[1].replace("\\\n", " ").split()
        return sorted({portable(os.path.join(self.directory, name)) for name in names})

    def remember_clean(self):
        files = self.read_files()
        CACHE.mkdir(parents=True, exist_ok=True)
        partial = self.record.with_suffix(f".{os.getpid()}")
        partial.write_text(json.dumps({"files": files, "digest": self.combined_digest(files)}))
        partial.replace(self.record)


def lint(source, build_directory):
    """Returns the reports of the linter; an empty text when the source is clean."""
    if source.is_known_clean():
        return ""
    result = subprocess.run(["clang-tidy", "--quiet", "-p", build_directory, source.name], cwd=ROOT,
                            capture_output=True, text=True)
    if result.returncode != 0:
        return result.stdout + result.stderr
    source.remember_clean()
    return ""


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("-j", "--jobs", type=int, default=os.cpu_count())
    parser.add_argument("build_directory")
    parser.add_argument("files", nargs="+")
    arguments = parser.parse_args()
    entries = json.loads((ROOT / arguments.build_directory / "compile_commands.json").read_text())
    commands = {portable(entry["file"]): entry for entry in entries}
    unknown = [name for name in arguments.files if portable(ROOT / name) not in commands]
    if unknown:
        sys.exit("no compile command for " + " ".join(unknown))
    sources = [Source(portable(ROOT / name), commands[portable(ROOT / name)]) for name in arguments.files]
    with concurrent.futures.ThreadPoolExecutor(arguments.jobs) as executor:
        reports = list(executor.map(lambda source: lint(source, arguments.build_directory), sources))
    faulty = [report for report in reports if report]
    print("".join(faulty) + f"linted={len(sources)} faulty={len(faulty)}")
    sys.exit(1 if faulty else 0)


if __name__ == "__main__":
    main()
