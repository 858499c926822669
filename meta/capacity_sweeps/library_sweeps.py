"""Decision libraries in one process, without I/O."""
import json
import os
import pathlib
import subprocess

from .sweep import Sweep

REPEATS = 5
FOLD_MEDIAN = "median"

# Name in the driver's output -> title, unit of x, unit of y.
DRIVER_SLOPES = {
    "dispatch_request_us": ("a request through the scheduler",
                            "backend servers", "us"),
    "dispatch_queue_tick_us": ("a tick of the scheduler",
                               "queued requests", "us"),
    "dispatch_queue_request_us": ("a request through a full scheduler",
                                  "queued requests", "us"),
    "dispatch_token_report_us": ("a report of tokens to the scheduler",
                                 "tokens in the report", "us"),
    "membership_report_us": ("a load report in membership",
                             "servers known", "us"),
    "membership_tick_us": ("a tick of membership", "servers known", "us"),
    "membership_list_us": ("a host list in membership",
                           "servers known", "us"),
    "claims_fold_us": ("folding claims", "claims", "us"),
    "claims_memory_bytes": ("memory of the claims ledger", "claims", "B"),
    "claims_record_bytes": ("claims on the log, 8 in a record", "claims",
                            "B"),
    "resume_token_us": ("sealing resume tokens", "tokens", "us"),
}


def run_lines(command, environment=None):
    done = subprocess.run([str(part) for part in command], check=True,
                          capture_output=True, text=True,
                          env={**os.environ, **(environment or {})})
    return done.stdout.splitlines()


def measure_libraries(programs, repeats=REPEATS):
    """dispatch, membership, claims and resume tokens, by godwit-capacity."""
    sweep = Sweep("libraries")
    for part in ("dispatch", "membership", "claims", "resume-token"):
        for _ in range(repeats):
            for line in run_lines([pathlib.Path(programs) / "godwit-capacity",
                                   part]):
                point = json.loads(line)
                title, x_unit, y_unit = DRIVER_SLOPES[point["sweep"]]
                sweep.slope(point["sweep"], title, x_unit, y_unit).add(
                    point["x"], point["y"])
    sweep.save()


def measure_catalogue(programs, repeats=REPEATS):
    """The fold, the state and its checkpoint, by godwit-catalogue-bench."""
    sweep = Sweep("catalogue")
    for _ in range(repeats):
        for line in run_lines([pathlib.Path(programs)
                               / "godwit-catalogue-bench"]):
            row = json.loads(line)
            size = row["organisations"]
            for name, title, value, unit in (
                    ("fold_us", "folding one catalogue change, median",
                     row["fold_us"][FOLD_MEDIAN], "us"),
                    ("state_bytes", "memory of a catalogue",
                     row["state_bytes"], "B"),
                    ("checkpoint_bytes", "a checkpoint on the log",
                     row["checkpoint_bytes"], "B"),
                    ("checkpoint_records", "records of a checkpoint",
                     row["checkpoint_records"], "records"),
                    ("checkpoint_write_us", "writing a checkpoint",
                     row["checkpoint_write_us"], "us"),
                    ("checkpoint_read_us", "reading a checkpoint",
                     row["checkpoint_read_us"], "us")):
                sweep.slope(name, title, "organisations", unit).add(
                    size, value)
    sweep.save()


def measure_appends(programs):
    """Appends a second against claims a second: the claims library's own
    measuring mode, in virtual time, so that one run is exact."""
    sweep = Sweep("appends")
    program = pathlib.Path(programs).parent / "tests" / "claims" / "test_claims"
    for line in run_lines([program], {"GODWIT_MEASURE": "1"}):
        fields = line.split()
        if len(fields) != 8 or fields[0] not in ("host", "zone"):
            continue
        writer, append_ms, gather_ms = fields[:3]
        if append_ms != "10" or gather_ms != "2":
            continue
        rate, appends, p99 = (float(fields[place]) for place in (3, 4, 6))
        sweep.slope(f"appends_{writer}",
                    f"appends a second, one writer a {writer}",
                    "claims a second", "appends/s").add(rate, appends)
        sweep.slope(f"claim_p99_{writer}",
                    f"wait for a claim, 99 in 100, one writer a {writer}",
                    "claims a second", "ms").add(rate, p99)
    sweep.save()
