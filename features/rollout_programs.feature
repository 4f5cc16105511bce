Feature: Rollouts with the real programs
  Three control and three entry hosts run before upstreams of two software versions. A
  stand-in platform lists the new upstreams, orders the rollout, stops the old ones as
  soon as it reads "complete", and drains the new ones after "reverted".

  Scenario: The programs complete the rollout of a good version and cut no stream
    Guards against old streams that still run when the operator reads "complete".
    When real programs roll out a good version in 8 s
    Then the rollout of the programs is "complete"
    And no caller got a broken answer

  Scenario Outline: The programs revert a version that <kind> <moment>
    Guards against more requests at a bad version than share and slack allow, over all
    entry hosts, and against requests 5 s after its 50th bad answer.
    When real programs roll out a version that <kind> "<moment>" in <period> s
    Then the rollout of the programs is "reverted"
    And the programs exceeded no limit on a bad version

    Examples:
      | kind    | moment       | period |
      | fails   | at once      | 8      |
      | fails   | on one route | 8      |
      | fails   | under load   | 12     |
      | fails   | late         | 12     |
      | is slow | at once      | 12     |

  Scenario: The programs revert a bad version although the leader is killed
    Guards against a new leader that grants the share and the slack a second time.
    When real programs roll out a version that fails "at once" in 12 s while the leader dies
    Then the rollout of the programs is "reverted"
    And the programs exceeded no limit on a bad version

  Scenario: The programs complete a rollout although the leader is killed during the canary
    Guards against a good version that is reverted when its samples are lost.
    When real programs roll out a good version in 12 s while the leader dies
    Then the rollout of the programs is "complete"
    And no caller got a broken answer

  Scenario: An acknowledged order of the programs goes on after all control hosts were killed
    Guards against an order that is acknowledged before it is on the disks.
    When real programs roll out a good version in 12 s while all control hosts die
    Then the rollout of the programs is "complete"
    And no caller got a broken answer

  Scenario: The programs refuse an order while no leader is known, and take it afterwards
    Guards against an order that is acknowledged by a host that can't record it.
    When a rollout is ordered at a control host whose two peers are killed
    Then it is answered with 503 and a time for another try
    And the same order is accepted once the peers are back
