Feature: A control group bears the next loss once a lost host has had time to catch up
  Control hosts in virtual time are lost in turn, for ever or for a while, as many as the
  group has to bear. A lost host counts until it, or its successor at a new address, has
  been back for the time to catch up. Before each next loss so many voters must be live
  that a quorum outlives it. Guards against voters that are gone and add up. Half of the
  new hosts have no seed that leads.

  To play other or more lives, give the first seed and their number:

      PERIDOTFRONT_LOSSES_SEED=1000 PERIDOTFRONT_LOSSES_RUNS=500 \
          .venv/bin/behave features/replaced_hosts.feature

  Scenario Outline: Leaders replaced one after the other leave a group with a leader: every <gap> ms
    When the leader of 4 control hosts is replaced 6 times, every <gap> ms
    Then the group can bear each loss, and nothing acknowledged is lost

    Examples: Gaps
      | gap   |
      | 5000  |
      | 6500  |
      | 8000  |
      | 9000  |
      | 10000 |
      | 12000 |

  Scenario Outline: Groups of all sizes bear the next loss after the last one: <kind>
    When 16 control groups lose hosts in turn by <kind>
    Then the group can bear each loss, and nothing acknowledged is lost

    Examples: Kinds of loss
      | kind                  |
      | a replacement         |
      | a planned replacement |
      | a lost disk           |
      | a kill                |
      | a freeze              |
      | a cut                 |
      | any of them           |

  # Guards against a group that shrinks, for want of a silent voter, to so few voters that
  # the disks whose loss it has to bear leave no quorum for good.
  Scenario: A group that loses all tolerated disks while hosts are away recovers
    When 24 control groups lose all tolerated disks while further hosts are away
    Then the group can bear each loss, and nothing acknowledged is lost

  # Guards against a deployment that raises the losses to bear while its processes run.
  Scenario: The number of losses to tolerate applies when the settings change
    Given 5 control hosts in virtual time that tolerate 1 lost disk
    When one of them is cut off for 12 s
    Then the group has 4 voters
    When it is back, and all hosts are set to tolerate 2 lost disks
    And one of them is cut off for 12 s
    Then the group has 5 voters
