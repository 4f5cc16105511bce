Feature: Replicas of the control group agree on one log
  Replicas run in virtual time with a network and disks that fail. Every step
  checks that no two replicas disagree on an entry, that a term has one leader,
  and that no read misses a write that was completed before the read began.

  Scenario Outline: Blank hosts bootstrap one group
    Given a control group of <count> hosts
    When a leader is elected
    Then every host holds the same <count> voters
    And the group was bootstrapped once

    Examples:
      | count |
      | 1     |
      | 3     |
      | 5     |

  Scenario: The group is not bootstrapped before every configured host answers
    Given a control group of 3 hosts of which "c" is down
    When 10 s pass in the group
    Then no host leads
    When control host "c" starts
    Then a leader is elected

  Scenario Outline: A bootstrapping host that crashes at any write leaves one group
    Given a control group of 3 hosts
    And the bootstrapping host loses power after write <write>, and its disk is <disk>
    When 5 s pass in the group
    And control host "a" starts
    Then the writes 1 to 10 are completed
    And every host catches up as a voter

    Examples:
      | write | disk |
      | 1     | kept |
      | 2     | kept |
      | 3     | kept |
      | 4     | kept |
      | 1     | lost |
      | 2     | lost |
      | 3     | lost |
      | 4     | lost |

  Scenario Outline: A leader that dies is replaced
    Given a control group of <count> hosts with 20 completed writes
    When the leader crashes
    Then the writes 21 to 25 are completed
    When the crashed host starts
    Then every host catches up as a voter

    Examples:
      | count |
      | 3     |
      | 5     |

  Scenario: All hosts reach the current state after a restart
    Given a control group of 3 hosts with 500 completed writes
    When all hosts crash and start
    Then the writes 501 to 502 are completed
    And every host catches up as a voter

  Scenario: A leader that is cut off steps down within one election timeout
    Given a control group of 3 hosts with 5 completed writes
    When the leader is cut off
    Then the old leader steps down within one election timeout
    And a read at the old leader fails
    And the writes 6 to 8 are completed

  Scenario Outline: A leader that is cut off in one direction does not stop the group
    Given a control group of 3 hosts with 5 completed writes
    When the leader's <direction> messages are lost
    Then the writes 6 to 8 are completed

    Examples:
      | direction |
      | outgoing  |
      | incoming  |

  Scenario: A follower that was cut off does not disturb the leader
    Given a control group of 3 hosts with 5 completed writes
    When a follower is cut off for 30 s and comes back
    Then the leader and its term are the same
    And every host catches up as a voter

  Scenario Outline: A leader that was frozen serves no read before it checks its clock
    Given a control group of 3 hosts with 5 completed writes
    When the leader is frozen for <frozen_ms> ms with a read and a write waiting
    Then the read failed
    And the waiting write was dropped or is on every host

    Examples:
      | frozen_ms |
      | 700       |
      | 5000      |

  Scenario: A leader that was frozen does not count answers queued during the freeze
    Given a control group of 3 hosts with 5 completed writes
    When the leader is frozen for 5000 ms with answers waiting
    Then the read failed

  Scenario: A repeated heartbeat answer does not confirm a later read
    Given a control group of 3 hosts with 5 completed writes
    When the leader is cut off
    And the followers' last answers arrive again after a read
    Then the read has no answer or failed

  Scenario: A host with a lost disk comes back as learner and then as voter
    Given a control group of 3 hosts with 40 completed writes
    When a follower loses its disk and starts
    Then every host catches up as a voter
    And no step changed more than one voter

  Scenario: A host with a blank disk does not count as a voter
    Given a control group of 3 hosts with 10 completed writes
    When the leader crashes
    And a follower loses its disk and starts
    And 20 s pass in the group
    Then no host leads
    When the crashed host starts
    Then every host catches up as a voter

  Scenario Outline: The loss of a second host right after a repair loses no completed write
    Given a control group of 3 hosts with 30 completed writes
    When a follower loses its disk, starts and is a voter again
    And then the <second> loses its disk
    Then the writes 31 to 33 are completed
    And all 33 writes are in the log
    When the crashed host starts
    Then every host catches up as a voter

    Examples:
      | second         |
      | leader         |
      | other follower |

  Scenario: A host whose disk is lost twice during its repair is repaired
    Given a control group of 3 hosts with 30 completed writes
    When a follower loses its disk and starts
    And 400 ms pass in the group
    And the same follower loses its disk and starts
    Then every host catches up as a voter

  Scenario: A delayed join request does not restore a lost disk as member
    Given a control group of 3 hosts with 10 completed writes
    When a follower loses its disk, starts and is a voter again
    And a join request of its lost disk arrives late
    Then every host catches up as a voter

  Scenario: A host that is far behind gets the snapshot in chunks
    Given a control group of 3 hosts with 5 completed writes
    When a follower crashes
    And 400 writes are completed and every host takes a snapshot
    And the crashed host starts
    Then every host catches up as a voter
    And all 405 writes are in the log

  Scenario: A host whose disk is lost is not sent many large entries before a snapshot
    Given a control group of 3 hosts that keeps 256 entries of at most 4096 bytes
    And 200 writes are completed and every host takes a snapshot
    When a follower loses its disk and catches up as a voter
    Then it was sent at most 40 log entries

  Scenario: A snapshot transfer completes despite lost, duplicated and reordered messages
    Given a control group of 3 hosts with 5 completed writes
    And a network that loses, duplicates and reorders messages
    When a follower crashes
    And 400 writes are completed and every host takes a snapshot
    And the crashed host starts
    Then every host catches up as a voter

  Scenario: Many proposals are sent in few requests
    Given a control group of 3 hosts with 5 completed writes
    When 64 writes are proposed at once
    Then the writes 6 to 69 are completed
    And at most 30 requests carried the writes to each follower

  Scenario: A host that is not configured is not admitted
    Given a control group of 3 hosts with 5 completed writes
    When the leader receives a join request from "z"
    And 3 s pass in the group
    Then the leader has no learners

  Scenario: The diagnostic dump names the role, the members and the peers
    Given a control group of 3 hosts with 5 completed writes
    Then the leader's dump shows 3 voters, 2 peers and its progress
