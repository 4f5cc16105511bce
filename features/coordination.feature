Feature: Entry hosts discover a control group through seeds, and continue without it
  A process is configured with three seeds only. The leader schedules for all hosts.

  Scenario: Entry hosts get leader, configuration and upstreams through the seeds
    Given a routed group of 3 control hosts and 2 entry hosts
    And upstreams "m1,m2" are listed
    When the operator sends version 7 to any host and it is acknowledged
    Then every entry host has version 7 within 300 ms
    And every entry host lists "m1,m2" within 600 ms

  Scenario: A control host that the settings do not name joins and becomes a voter
    Given a routed group of 4 control hosts and 1 entry host
    When 2000 ms pass in the routed group
    Then the voters are "c1,c2,c3,c4"

  Scenario: A blank host that starts later never bootstraps a group
    Given a routed group of 3 control hosts and 1 entry host
    And version 7 is acknowledged
    When all control hosts lose power and "c1" loses its disk
    And all control hosts start again
    And 5000 ms pass in the routed group
    Then version 7 is read at the leader
    And the voters are "c1,c2,c3"

  # Guards against a deployment that never begins to work, since one of its hosts was
  # killed before its folder was marked as one of the first start.
  Scenario Outline: A host that is killed while all start for the first time does not stop them: <name>
    Given 3 control hosts that start, of which "<name>" was killed before it had a folder
    When 3000 ms pass in the routed group
    Then the voters are "c1,c2,c3"

    Examples: Hosts as "killed at first"
      | name |
      | c1   |
      | c2   |
      | c3   |

  Scenario Outline: Hosts that may have lost a group bootstrap none: <names>
    Given 3 control hosts that start, of which "<names>" was killed before it had a folder
    And then "<restarted>" is killed and starts again
    When 8000 ms pass in the routed group
    Then no control host leads

    Examples: Hosts without the mark as "unmarked"
      | names | restarted |
      | c1,c2 | none      |
      | c2,c3 | none      |
      | c3    | c1,c2     |

  Scenario: Hosts that fail while all start for the first time form one group at most
    When 80 control groups start for the first time, and hosts are killed, cut off and wiped
    Then each forms a group that loses nothing, or none if several hosts failed

  Scenario: Two blank hosts of three never bootstrap a second group
    Given a routed group of 3 control hosts and 1 entry host
    And version 7 is acknowledged
    When "c1" stops permanently
    And "c2" and "c3" restart with empty disks
    And 8000 ms pass in the routed group
    Then no control host leads

  Scenario: Hosts that all lost their disks never bootstrap a second group
    Given a routed group of 3 control hosts and 1 entry host
    And version 7 is acknowledged
    When all control hosts lose power and all lose their disks
    And 8000 ms pass in the routed group
    Then no control host leads

  Scenario: A permanently lost host is replaced by one at a new address
    Given a routed group of 4 control hosts and 1 entry host
    And version 7 is acknowledged
    When "c4" stops permanently
    And "c9" starts blank
    And 10000 ms pass in the routed group
    Then the voters are "c1,c2,c3,c9"
    And version 7 is read at the leader

  Scenario: A host that was replaced while it was cut off joins again
    Given a routed group of 4 control hosts and 1 entry host
    And version 7 is acknowledged
    When "c4" is cut off from all
    And "c9" starts blank
    And 10000 ms pass in the routed group
    And all cuts are repaired
    And 8000 ms pass in the routed group
    Then the voters are "c1,c2,c3,c4,c9"

  Scenario Outline: A new control host joins though none of its seeds leads: <seeds>
    Given a routed group of 4 control hosts and 1 entry host
    And version 7 is acknowledged
    When a control host that follows is replaced, with <seeds> as seeds
    And 3800 ms pass in the routed group
    And a control host that follows is replaced, with <seeds> as seeds
    And 3800 ms pass in the routed group
    Then the new control hosts are voters
    And version 7 is read at the leader

    Examples: Seeds
      | seeds                          |
      | all followers                  |
      | one follower                   |
      | the newest host and a gone one |

  Scenario: Other seeds lead to the same group
    Given a routed group of 4 control hosts and 1 entry host
    And version 7 is acknowledged
    When the seeds become "c4"
    And entry host "e1" restarts
    Then every entry host has version 7 within 2000 ms

  Scenario: The highest version stays in force and an older one is acknowledged without effect
    Given a routed group of 3 control hosts and 1 entry host
    And version 9 is acknowledged
    When the operator sends version 8 to the leader
    Then the answer is "superseded"
    And version 9 is read at the leader

  Scenario: Different content with the current version number changes nothing
    Given a routed group of 3 control hosts and 1 entry host
    And version 9 is acknowledged
    When the operator sends version 9 with the route "/b/" to the leader
    Then the answer is "superseded"
    And version 9 with the route "/a/" is read at the leader

  Scenario: A leader that is cut off acknowledges no change and serves no read
    Given a routed group of 3 control hosts and 1 entry host
    And version 9 is acknowledged
    When the leader is cut off from all
    And the operator sends version 10 to the old leader
    And the operator reads at the old leader
    And 4000 ms pass in the routed group
    Then both calls were answered as unavailable

  Scenario: All control hosts lose power right after an acknowledgement
    Given a routed group of 3 control hosts and 1 entry host
    And version 9 is acknowledged
    When all control hosts lose power and none loses its disk
    And all control hosts start again
    Then a host leads within 900 ms
    And version 9 is read at the leader

  Scenario: After a power loss no host activates an older version from the replayed log
    Given a routed group of 3 control hosts and 2 entry hosts
    And versions 1 to 30 are acknowledged
    When all hosts lose power and start again
    And 3000 ms pass in the routed group
    Then every entry host activated only version 30

  Scenario: Without a leader an entry host schedules for itself after a short timeout
    Given a routed group of 3 control hosts and 2 entry hosts
    And upstreams "m1,m2" are listed
    And version 7 is acknowledged
    When the leader freezes
    And 600 ms pass in the routed group
    And "e1" requests a slot for "r1"
    Then "r1" is granted within 20 ms
    And "r1" was granted by the entry host itself

  Scenario: A slot request that waits for a frozen leader is granted without it
    Given a routed group of 3 control hosts and 2 entry hosts
    And upstreams "m1,m2" are listed
    And version 7 is acknowledged
    When the leader freezes
    And "e1" requests a slot for "r1"
    Then "r1" is granted within 800 ms

  Scenario: A new leader learns the slots that are held
    Given a routed group of 3 control hosts and 1 entry host
    And upstreams "m1" are listed
    And version 7 is acknowledged
    When "e1" requests slots for 4 requests
    And the leader freezes
    And another host leads and the entry hosts follow it
    And "e1" requests a slot for "late"
    And 300 ms pass in the routed group
    Then "late" has no slot
    When "e1" ends its first request
    Then "late" is granted within 100 ms

  Scenario: An entry host that restarts frees its slots at once
    Given a routed group of 3 control hosts and 2 entry hosts
    And upstreams "m1" are listed
    And version 7 is acknowledged
    When "e1" requests slots for 4 requests
    And "e2" requests a slot for "late"
    And entry host "e1" restarts
    Then "late" is granted within 400 ms

  Scenario: A cancelled slot request takes no slot
    Given a routed group of 3 control hosts and 1 entry host
    And upstreams "m1" are listed
    And version 7 is acknowledged
    When "e1" requests a slot for "r1" and cancels it immediately
    And "e1" requests slots for 4 requests
    And 100 ms pass in the routed group
    Then all 4 requests have a slot

  Scenario: A leaving upstream gets no requests once the list has been read again
    Given a routed group of 3 control hosts and 1 entry host
    And upstreams "m1,m2" are listed
    And version 7 is acknowledged
    When "m1" is listed as leaving
    And 250 ms pass in the routed group
    And "e1" requests slots for 4 requests
    And 100 ms pass in the routed group
    Then all 4 requests have a slot at "m2"

  Scenario: The last upstream of a service gets no requests once it has left the list
    Given a routed group of 3 control hosts and 1 entry host
    And upstreams "m1" are listed
    And version 7 is acknowledged
    When no upstream is listed any more
    And 250 ms pass in the routed group
    And "e1" requests a slot for "late"
    And 300 ms pass in the routed group
    Then "late" has no slot

  Scenario: The last upstream of a service gets requests again once it is listed again
    Given a routed group of 3 control hosts and 1 entry host
    And upstreams "m1" are listed
    And version 7 is acknowledged
    When no upstream is listed any more
    And 250 ms pass in the routed group
    And upstreams "m1" are listed again
    And 250 ms pass in the routed group
    And "e1" requests a slot for "late"
    Then "late" is granted within 100 ms

  Scenario: A service that the configuration removed gets no slots
    Given a routed group of 3 control hosts and 1 entry host
    And upstreams "m1" are listed
    And version 7 is acknowledged
    When the operator removes the service "models" in version 8
    And "e1" requests a slot for "late"
    And 300 ms pass in the routed group
    Then "late" has no slot

  Scenario: Entry hosts send heartbeats to the leader only
    Given a routed group of 4 control hosts and 6 entry hosts
    And version 7 is acknowledged
    When 1000 ms pass in the routed group and messages are counted
    Then each entry host sent at most 6 heartbeats
