Feature: The state of the control group survives random schedules
  First the state machines alone, with a replica that lags and is restored from
  snapshots; then whole control and entry hosts, with messages lost, doubled, late
  and out of order, hosts killed, frozen, cut off one way or both, disks lost, and
  clocks of unlike rates. An oracle of dicts and counters says what must hold.

  For a long run with new seeds, give the number of steps, and a seed if it is to
  be repeated:

      PERIDOTFRONT_FUZZ_STEPS=100000 PERIDOTFRONT_FUZZ_SEED=7 \
          .venv/bin/behave features/control_fuzz.feature

  Scenario: Random commands leave all replicas alike and break no promise
    When random commands are applied in the order of a log
    Then the oracle of the control group agrees

  Scenario: Random faults of control and entry hosts break no promise
    When random faults strike control and entry hosts
    Then the oracle of the control group agrees
