Feature: The recorded rollouts outlive restarts and snapshots
  Coordinators run in virtual time and take a snapshot after every 20 log entries.

  Scenario: Control hosts whose snapshots hold rollouts answer their states after a restart
    Guards against snapshots that lack the rollouts, whose orders the log no longer holds.
    Given a control group with a rolling, a reverted and a complete rollout in its snapshots
    When all its control hosts are restarted
    Then the leader answers the states of the rollouts as before
    And a repeat of the rolling order starts nothing
    And a new order gets a higher number than all before

  Scenario: A control host that was sent a snapshot holds the rollouts
    Guards against a host that may lead although it knows no order.
    Given a control group with a rolling, a reverted and a complete rollout in its snapshots
    When a control host starts with an empty disk and catches up by a snapshot
    Then it holds the rollouts as the others do

  Scenario Outline: The snapshot of a build without rollouts is read: <build>
    Guards against a control host that can't start on its disk after an upgrade.
    Given the recording of the build <build>
    When the replicated state is restored from its snapshot
    Then it has no rollouts, and accepts the order of one
    And a snapshot of it holds the order

    Examples:
      | build   |
      | 770f6cc |
      | 5bb71e4 |
      | 273f88b |

  Scenario: Control hosts start again on snapshots without rollouts
    Guards against a group that takes no orders after an upgrade.
    Given a control group whose snapshots are of a build without rollouts
    When all its control hosts are restarted
    Then the leader knows no rollouts, and accepts the order of one
