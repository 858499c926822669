"""What the lines of hosts say of streams that were lost."""
import unittest

from loss_table.streams import read_streams
from loss_table.table import each_loss, loss_table


def line(second, text):
    return (f"  1.0 host-1 time=2026-01-01T10:00:{second:06.3f} level=INFO "
            f"component=entry host=h1 zone=east {text}\n")


def placed(second, request, waited=0, zone="east"):
    return line(second, f"event=placed request={request} route=r1 server=i-1 "
                f"server_zone={zone} waited_ms={waited}")


def completed(second, request, events=200):
    return line(second, f"event=stream_completed request={request} route=r1 "
                f"server=i-1 events={events} first_ms=400")


class LossesTest(unittest.TestCase):
    def reasons(self, *lines):
        return {one.request: one.reason() for one in read_streams(lines)}

    def test_a_stream_in_time_has_no_reason(self):
        self.assertEqual({"a": ""}, self.reasons(
            placed(1, "a"), completed(9, "a")))

    def test_whole_answers_are_left_out(self):
        self.assertEqual({}, self.reasons(placed(1, "a")))

    def test_late_ones_tell_waiting_from_reading(self):
        late = "event=late_event request={} pause_ms=2000 objective_ms=1800 first=true"
        self.assertEqual(
            {"a": "late, waited", "b": "late, reading"},
            self.reasons(
                placed(1, "a", waited=900), line(2, late.format("a")),
                completed(9, "a"),
                placed(3, "b", waited=20), line(5, late.format("b")),
                completed(9, "b")))

    def test_a_pause_after_the_first_event_is_no_late_start(self):
        pause = "event=late_event request=a pause_ms=400 objective_ms=180 first=false"
        first = "event=late_event request=b pause_ms=1900 objective_ms=1800 first=true"
        self.assertEqual({"b": "late, reading"}, self.reasons(
            placed(1, "b"), line(3, first), line(4, pause.replace("a ", "b ")),
            completed(9, "b")))

    def test_a_pause_of_a_stream_that_began_in_time(self):
        pause = "event=late_event request=a pause_ms=400 first=false"
        self.assertEqual({"a": "paused"}, self.reasons(
            placed(1, "a"), line(3, pause), completed(9, "a")))

    def test_ends_without_an_end(self):
        self.assertEqual(
            {"a": "cut", "b": "caller left", "c": "left waiting",
             "d": "no end"},
            self.reasons(
                placed(1, "a"),
                line(2, 'event=cut request=a cause="end of x" last_event=30'),
                placed(1.1, "b"),
                line(3, "event=caller_left request=b last_event=12"),
                line(3, "event=caller_left request=c last_event=0"),
                placed(4, "d"),
                line(5, "event=migration request=d verdict=resumed")))

    def test_the_table_counts_by_time_kind_and_reason(self):
        streams = read_streams([
            placed(0, "a"), completed(4, "a"),
            placed(1, "b"),
            line(2, "event=cut request=b cause=x last_event=30"),
            placed(7, "c"), completed(8, "c", events=3)])
        table = loss_table(streams, 5.0, 16)
        self.assertIn("0.0 long       2      1", table)
        self.assertIn("5.0 short      1      -", table)
        self.assertEqual(1, len(each_loss(streams, 16).splitlines()))

    def test_lines_of_another_kind_are_passed_over(self):
        self.assertEqual([], read_streams(["", "no pairs", "time=never a=b"]))


if __name__ == "__main__":
    unittest.main()
