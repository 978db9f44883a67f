"""Count the scenarios of a test run and compare its failures with KNOWN-RED.txt.

``behave`` writes its results to JUnit files. A scenario that fails and is not
listed in KNOWN-RED.txt fails the run, and so does a listed one that passes. A few
scenarios may be listed at a time; other entries, such as days and soak seeds, are not
run here and have no limit.
"""

import sys
from pathlib import Path
from xml.etree import ElementTree

ROOT = Path(__file__).parent.parent
MAX_KNOWN_RED = 3


def known_red():
    path = ROOT / "KNOWN-RED.txt"
    if not path.exists():
        return set()
    lines = [line for line in path.read_text().splitlines() if line.strip()]
    return {line.split(" | ")[0].strip() for line in lines}


def read_results(folder):
    passed, failed = set(), set()
    for path in sorted(Path(folder).glob("*.xml")):
        for case in ElementTree.parse(path).iter("testcase"):
            bad = case.find("failure") is not None or case.find("error") is not None
            (failed if bad else passed).add(case.get("name").strip())
    return passed, failed


def main(folder):
    passed, failed = read_results(folder)
    red = known_red()
    unexpected = failed - red
    fixed = red & passed
    for name in sorted(failed & red):
        print(f"known red: {name}")
    for name in sorted(unexpected):
        print(f"failed: {name}")
    for name in sorted(fixed):
        print(f"listed in KNOWN-RED.txt but passes: {name}")
    listed = red & (passed | failed)
    if len(listed) > MAX_KNOWN_RED:
        print(f"more than {MAX_KNOWN_RED} scenarios are listed in KNOWN-RED.txt")
    print(f"scenarios: {len(passed)} passed, {len(failed)} failed")
    # An aborted run has a non-zero exit code but may have no failed scenario.
    aborted = (Path(folder) / "exit").read_text().strip() != "0" and not failed
    if aborted:
        print("behave broke off")
    succeeded = passed and not unexpected and not fixed and len(listed) <= MAX_KNOWN_RED
    succeeded = succeeded and not aborted
    return 0 if succeeded else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
