#!/usr/bin/env python3
"""Prints the test programs that depend on files, one a line.

usage: changed_tests.py BUILD_DIRECTORY FILE...

Takes the dependencies that the last build noted: of objects on headers from
Ninja's log, of programs on objects and other programs from its graph. Any
other file than a source, such as a trace or a CMakeLists.txt, may decide every
test: then all are printed.
"""
import pathlib
import subprocess
import sys


def ninja(build, *arguments):
    return subprocess.run(
        ["ninja", "-C", str(build), *arguments],
        capture_output=True, text=True, check=True).stdout


def objects_by_source(build, root):
    """Files of the repository that each object was made of."""
    result = {}
    name = None
    for line in ninja(build, "-t", "deps").splitlines():
        if line and not line.startswith(" "):
            name = line.split(":", 1)[0]
            result[name] = set()
        elif name is not None and line.strip():
            path = (build / line.strip()).resolve()
            if path.is_relative_to(root):
                result[name].add(str(path.relative_to(root)))
    return result


def main():
    root = pathlib.Path.cwd().resolve()
    build = root / sys.argv[1]
    changed = set(sys.argv[2:])
    programs = sorted(
        each.name for each in (build / "tests").iterdir()
        if each.is_file() and each.name.endswith("_test"))
    if any(not name.endswith((".cpp", ".hpp")) for name in changed):
        print("\n".join(programs))
        return
    objects = objects_by_source(build, root)
    touched = {
        name for name, sources in objects.items() if sources & changed}
    for program in programs:
        inputs = ninja(build, "-t", "inputs", "tests/" + program).split()
        if touched & set(inputs):
            print(program)


main()
