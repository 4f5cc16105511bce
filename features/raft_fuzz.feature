Feature: The control group survives random schedules of faults
  Messages are lost, doubled, delayed and reordered; links are cut one way; hosts
  crash within a turn, lose their disks, freeze, and have clocks of unlike rates.
  Each run ends with all faults gone: then every host must become a voter again,
  and every write that was acknowledged must be on every host.

  For a long run with new seeds, give the number of steps, and a seed if it is to
  be repeated:

      PERIDOTFRONT_FUZZ_STEPS=1000000 PERIDOTFRONT_FUZZ_SEED=7 \
          .venv/bin/behave features/raft_fuzz.feature

  Scenario: Random faults lose no acknowledged write and show no old state
    Given the random faults of the settings
    When they are run against the control group
    Then no rule was broken, and each kind of event was met
