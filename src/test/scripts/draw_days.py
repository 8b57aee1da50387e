#!/usr/bin/env python3
"""Draws days of the bench's format from written sequences of overlapping troubles, and from every single kind.

    draw_days.py SEED COUNT FOLDER [--large] [--sequence NAME] [--site SITE --traffic PART]

Writes FOLDER/day-SEED-N.toml, to be played with `fleetbench run SITE FILE`; the same seed gives the same days.
Each day holds two sequences (each brings about one moment that the review of the control state or of the data plane
names) and some single troubles at random times. --large leaves less traffic time between them and is meant for sites
with many machines; --sequence puts the named sequence on every day; --traffic plays that part of the site's own
traffic, for sites whose days take very long. Floors are low: these days look for broken rules.
"""
import argparse
import os
import random
import tomllib

LEADERS = ["leader", "leader race", "leader meet", "leader race meet", "leader race drain hard", "meet drain", "reader"]
CUT_WAYS = ["", "one_way", "seeds", "both"]
CUT_ANSWERS = ["", "reset", "refuse"]
CLOSINGS = [
    None,
    '{ kind = "power_off_all", down_s = 1.2 }',
    '{ kind = "power_off_all", down_s = 1.0, how = "taken" }',
    '{ kind = "power_off_all", down_s = 1.0, how = "timed" }',
    '{ kind = "kill_all", down_s = 1.0 }',
    '{ kind = "kill_all", down_s = 1.0, how = "timed" }',
    '{ kind = "wipe_after_ack", down_s = 1.0 }',
    '{ kind = "wipe_after_ack", down_s = 1.0, how = "timed" }',
    '{ kind = "wipe_after_ack", down_s = 1.0, how = "taken" }',
]
BAD_CONFIGS = ["cut_short", "unknown_service", "same_place", "no_weight", "no_timeout", "old_version", "same_version",
               "stale_match", "shared_key"]


def words(*parts):
    """Joins the words of a 'how' field, leaving out empty ones."""
    return " ".join(part for part in parts if part)


# Each sequence returns (planned entries, faults), with 'at' counted from the start of the sequence.


def long_cut(r):
    """A core machine is cut off for 20 s while operators race and a storm of changes passes it by."""
    cut = dict(at=0.5, kind="core_cut", count=1, for_s=20.0, how=words("leader race meet", r.choice(CUT_WAYS), r.choice(CUT_ANSWERS)))
    return [dict(at=2.0, kind="config_storm", for_s=10.0, gap_s=0.25), dict(at=4.0, kind="revoke", count=2, gap_s=1.0)], [cut]


def cut_again(r):
    """Two cuts in a row, the second one as the first heals."""
    first = dict(at=0.5, kind="core_cut", count=1, for_s=6.0, how=words("leader race", r.choice(CUT_WAYS), r.choice(CUT_ANSWERS)))
    second = dict(at=6.6, kind="core_cut", count=1, for_s=6.0, how=words("leader meet", r.choice(CUT_WAYS), r.choice(CUT_ANSWERS)))
    return [dict(at=7.5, kind="config_race", count=4, gap_s=0.7)], [first, second]


def lost_acks(r):
    """Nearly all acknowledgements are lost while operators race and the leader is killed."""
    kill = dict(at=3.0, kind="node_kill", on="core", count=1, for_s=2.0, how=words(r.choice(["", "power"]), "leader race hard"))
    return [dict(at=0.8, kind="config_race", count=8, gap_s=0.5)], [dict(at=0.5, kind="ack_lost", x=0.95, for_s=12.0), kill]


def replace_after_wipe(r):
    """A wiped disk right after an acknowledgement, a replacement at once and another one 5 s later."""
    faults = [dict(at=1.0, kind="after_ack_wipe", for_s=0.5), dict(at=1.6, kind="replace_core", x=0.5),
              dict(at=6.6, kind="replace_core", x=r.choice([0.5, 1.0]))]
    return [dict(at=0.5, kind="config_storm", for_s=10.0, gap_s=0.5)], faults


def planned_replace_then_wipe(r):
    """A planned replacement, and the disk of the machine that acknowledges next is lost."""
    faults = [dict(at=2.0 + r.random() * 4, kind="after_ack_wipe", for_s=0.5), dict(at=9.0, kind="after_ack_wipe", for_s=0.5)]
    return [dict(at=0.5, kind="replace_core", x=1.0, how="planned"), dict(at=1.0, kind="config_change", how="route"),
            dict(at=7.0, kind="replace_core", x=1.0, how="planned")], faults


def storm_with_losses(r):
    """A long storm of changes, with losses of power in the core and a replacement."""
    faults = [dict(at=3.0, kind="node_kill", on="core", count=1, for_s=4.0, how="power"),
              dict(at=11.0, kind="replace_core", x=1.0), dict(at=17.0, kind="node_kill", on="core", count=1, for_s=6.0, how="power leader")]
    return [dict(at=0.2, kind="config_storm", for_s=28.0, gap_s=r.choice([0.06, 0.12, 0.3]))], faults


def large_config(r):
    """The configuration grows by many routes while core machines restart."""
    faults = [dict(at=3.0, kind="node_kill", on="core", count=1, for_s=3.0, how=words(r.choice(["", "power"]), "leader meet")),
              dict(at=10.0, kind="herd_kill", on="core", share=1.0, for_s=1.0, how=r.choice(["", "power"]))]
    return [dict(at=0.2, kind="big_config"), dict(at=2.0, kind="config_storm", for_s=8.0, gap_s=0.5)], faults


def core_in_turn(r):
    """The core gets SIGTERM machine by machine, each while it answers, under a storm."""
    roll = dict(at=1.0, kind="roll_term", on="core", share=1.0, x=1.0, gap_s=r.choice([1.0, 3.0, 6.0]), how="busy")
    return [dict(at=0.2, kind="config_storm", for_s=16.0, gap_s=0.4), roll], [dict(at=8.0, kind="ack_lost", x=0.7, for_s=6.0)]


def spoiled_answers(r):
    """Late second answers, forgotten idle connections and resets at once."""
    faults = [dict(at=0.5, kind="garble", how="extra late", share=1.0, x=0.08, for_s=14.0),
              dict(at=1.0, kind="idle_race", share=1.0, x=r.choice([100.0, 300.0]), for_s=14.0),
              dict(at=3.0, kind="reset_conns", share=0.7, x=0.6), dict(at=8.0, kind="reset_conns", share=0.7, x=0.6),
              dict(at=2.0, kind="answer_lost", how="reset", share=1.0, x=0.06, for_s=12.0)]
    return [dict(at=5.0, kind="release", share=0.5, x=1.0, gap_s=1.0)], faults


def full_house(r):
    """One key takes much of the traffic during a burst and a release."""
    faults = [dict(at=0.5, kind="hot_key", share=0.5, for_s=10.0), dict(at=2.0, kind="burst", x=2.0, for_s=6.0),
              dict(at=4.0, kind="srv_grey", share=0.3, x=0.4, for_s=5.0, how=r.choice(["errors", "shed", "busy", "hang", "reset", "mute", "slow"])),
              dict(at=5.0, kind="retry_abuse", share=0.3, x=2.0, for_s=5.0)]
    return [dict(at=1.0, kind="release", share=0.7, x=2.0, gap_s=0.7)], faults


def lying_servers(r):
    """Servers that say ill or well falsely, that flap, and whose addresses others get."""
    faults = [dict(at=0.5, kind="srv_lying_health", share=0.3, for_s=8.0, how=r.choice(["errors", "hang", "reset", "bad"])),
              dict(at=1.0, kind="srv_flap", share=0.4, gap_s=1.4, for_s=9.0),
              dict(at=4.0, kind="replace_with_reuse", share=0.3, how=r.choice(["", "drain", "dark"])),
              dict(at=6.0, kind="scale_in", share=0.2, how="spot", x=2.0), dict(at=7.0, kind="kv_slow", share=0.5, for_s=5.0)]
    return [dict(at=2.0, kind="version_bump", count=0), dict(at=8.0, kind="config_change", how="weights")], faults


def frozen_holders(r):
    """Machines freeze in the middle of a roll-out of weights, and wake after others took over."""
    faults = [dict(at=0.8, kind="node_freeze", on="core", count=1, for_s=r.choice([2.0, 4.5, 9.0]), how="leader race"),
              dict(at=1.5, kind="node_freeze", share=0.4, for_s=3.0), dict(at=8.0, kind="clock_step", share=0.7, x=60000.0, for_s=4.0, how="ahead")]
    return [dict(at=0.3, kind="version_bump", count=0), dict(at=6.0, kind="version_bump", count=0), dict(at=2.0, kind="revoke", count=3, gap_s=0.8)], faults


def turned_seeds(r):
    """The settings name other seeds while a seed is cut off, and proxies are restarted."""
    faults = [dict(at=1.0, kind="core_cut", count=1, for_s=8.0, how=words("seeds", r.choice(CUT_ANSWERS))),
              dict(at=3.0, kind="node_kill", share=0.4, for_s=1.0, how=r.choice(["", "power"])),
              dict(at=5.0, kind="node_cut", share=0.3, for_s=6.0, how=r.choice(["", "servers"]))]
    return [dict(at=0.5, kind="seed_turnover"), dict(at=4.0, kind="hup", share=1.0, gap_s=0.5), dict(at=2.0, kind="config_change", how="tenant")], faults


def sick_disks(r):
    """Disks stall, fill and slow down while changes come and the core loses power."""
    faults = [dict(at=0.5, kind="disk_stall", count=1, for_s=r.choice([1.0, 4.0])), dict(at=5.0, kind="disk_full", count=1, for_s=5.0),
              dict(at=7.0, kind="disk_slow", count=1, x=300.0, for_s=5.0),
              dict(at=9.0, kind="herd_kill", on="core", share=1.0, for_s=1.0, how=r.choice(["power", "taken"]))]
    return [dict(at=0.2, kind="config_storm", for_s=10.0, gap_s=0.4), dict(at=3.0, kind="config_race", count=3, gap_s=1.0)], faults


def zone_of_proxies(r):
    """Proxies stop in turn under a burst, while others are cut off from servers."""
    faults = [dict(at=1.0, kind="node_cut", share=0.2, for_s=6.0, how="servers"), dict(at=2.0, kind="burst", x=1.7, for_s=5.0),
              dict(at=4.0, kind="herd_kill", share=0.6, for_s=1.0, how=r.choice(["", "power"]))]
    return [dict(at=0.5, kind="roll_term", share=1.0, x=1.0, gap_s=1.0, how="busy"), dict(at=9.0, kind="hup", share=1.0, gap_s=0.5)], faults


SEQUENCES = [long_cut, cut_again, lost_acks, replace_after_wipe, planned_replace_then_wipe, storm_with_losses, large_config,
             core_in_turn, spoiled_answers, full_house, lying_servers, frozen_holders, turned_seeds, sick_disks, zone_of_proxies]


def single_fault(r):
    """One fault out of all kinds."""
    return r.choice([
        dict(kind="after_ack_kill", count=1, for_s=2.0, how=r.choice(["", "kill", "timed", "taken"])),
        dict(kind="after_ack_wipe", for_s=1.0), dict(kind="ack_lost", x=0.7, for_s=6.0),
        dict(kind="core_cut", count=1, for_s=4.0, how=words(r.choice(LEADERS), r.choice(CUT_WAYS), r.choice(CUT_ANSWERS))),
        dict(kind="node_kill", on="core", count=1, for_s=3.0, how=words(r.choice(["", "power"]), r.choice(LEADERS))),
        dict(kind="node_freeze", on="core", count=1, for_s=3.0, how=r.choice(LEADERS)),
        dict(kind="node_slow", share=0.3, x=5.0, for_s=4.0), dict(kind="reset_conns", on="core", share=1.0, x=0.6),
        dict(kind="disk_stall", count=1, for_s=2.0), dict(kind="clock_step", share=0.5, x=2500.0, for_s=5.0, how=r.choice(["back", "ahead"])),
        dict(kind="srv_crash", share=0.2, for_s=4.0, how=r.choice(["", "dark", "gone"])), dict(kind="srv_slow", share=0.3, x=4.0, for_s=5.0),
        dict(kind="scale_out", share=0.3, gap_s=1.0), dict(kind="events_gap", share=0.5, for_s=5.0),
        dict(kind="garble", how="extra late", share=0.6, x=0.05, for_s=6.0), dict(kind="replace_core", x=1.0),
    ])


def single_plan(r):
    """One piece of planned work out of all kinds."""
    return r.choice([
        dict(kind="config_change", how=r.choice(["route", "weights", "timeout", "tenant", "quota", "idle"])),
        dict(kind="bad_config", count=2, gap_s=0.7, how=r.choice(BAD_CONFIGS)), dict(kind="version_bump", count=0),
        dict(kind="roll_term", share=0.4, x=1.0, gap_s=1.2, how="busy"), dict(kind="config_race", count=3, gap_s=1.0),
        dict(kind="revoke", count=2, gap_s=1.0),
    ])


# Kinds that sites of one service pool do not know.
LARGE_SITES_ONLY = {"idle_race", "hot_key", "srv_lying_health", "srv_flap"}


def literal(value):
    return '"%s"' % value if isinstance(value, str) else repr(value)


def entry(fields):
    return "  { " + ", ".join("%s = %s" % (name, literal(value)) for name, value in fields.items() if value != "") + " },"


def inline(value):
    """Writes a value as inline TOML."""
    if isinstance(value, dict):
        return "{ " + ", ".join("%s = %s" % (name, inline(item)) for name, item in value.items()) + " }"
    return literal(value)


def scaled_traffic(site, part):
    """The lines of the site's traffic, with that part of its requests a second."""
    with open(site, "rb") as file:
        sources = tomllib.load(file)["traffic"]
    return ["traffic = ["] + ["  %s," % inline(dict(source, per_s=round(source["per_s"] * part, 1))) for source in sources] + ["]"]


def draw_day(seed, number, options):
    r = random.Random("%s-%d" % (seed, number))
    chosen = r.sample(SEQUENCES, 2)
    if options.sequence:
        chosen = [s for s in SEQUENCES if s.__name__ == options.sequence] + chosen[:1]
    plan, faults = [dict(at=1.2, kind="config_change", how="route")], []
    start = 2.0
    for sequence in chosen:
        planned, unplanned = sequence(r)
        plan += [dict(e, at=round(e["at"] + start, 2)) for e in planned]
        faults += [dict(e, at=round(e["at"] + start, 2)) for e in unplanned]
        start += r.uniform(4.0, 12.0)
    for _ in range(r.randint(1, 3)):
        faults.append(dict(at=round(r.uniform(2.0, 24.0 if options.large else 30.0), 2), **single_fault(r)))
        plan.append(dict(at=round(r.uniform(2.0, 24.0 if options.large else 30.0), 2), **single_plan(r)))
    if not options.large:
        faults = [fault for fault in faults if fault["kind"] not in LARGE_SITES_ONLY]
    closing = r.choice(CLOSINGS)
    name = "day-%s-%d-%s" % (seed, number, "-".join(s.__name__ for s in chosen))
    lines = ["[[day]]", 'name = "%s"' % name, 'slot = "trouble"', "seed = %d" % r.randrange(10**9)]
    lines += ["closing = " + closing] if closing else []
    lines += ["one = 0.65", "zero = 0.3", "goal = { floor = 0.1 }", "floor_classes = [0.05]", "floor_zones = [0.05]", "labels = []",
              "wall = 3.0", "light = false", "plan = ["]
    lines += [entry(e) for e in sorted(plan, key=lambda e: e["at"])] + ["]", "faults = ["]
    lines += [entry(e) for e in sorted(faults, key=lambda e: e["at"])] + ["]"]
    if options.site:
        lines += scaled_traffic(options.site, options.traffic)
    return "\n".join(lines) + "\n"


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("seed")
    parser.add_argument("count", type=int)
    parser.add_argument("folder")
    parser.add_argument("--large", action="store_true")
    parser.add_argument("--sequence", choices=[s.__name__ for s in SEQUENCES])
    parser.add_argument("--site", help="site file whose traffic is scaled")
    parser.add_argument("--traffic", type=float, default=1.0)
    options = parser.parse_args()
    os.makedirs(options.folder, exist_ok=True)
    for number in range(options.count):
        path = os.path.join(options.folder, "day-%s-%d.toml" % (options.seed, number))
        with open(path, "w") as file:
            file.write(draw_day(options.seed, number, options))


if __name__ == "__main__":
    main()
