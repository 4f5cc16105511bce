Feature: Control role
  The leader answers for the group; any other replica names the leader, if known.

  Scenario: Every replica but the leader refuses an operator and names the leader
    Given a control group with a configuration
    When an operator queries the state of every control host
    Then the leader shows version 1 with its author, hosts and members
    And the others name the leader

  Scenario: A leader without a quorum steps down and answers unavailable at once
    Given a control group with a configuration
    When the leader is isolated
    And an operator queries the old leader while it is cut off
    Then the operator gets the answer unavailable within 700 ms
    And afterwards the old leader answers a claim as unavailable in the same turn

  Scenario: Without a quorum a claim is given up immediately and nothing is dispatched
    Given a control group with a configuration
    When two control hosts are killed for 3000 ms
    And "e1" requests the claim "late"
    Then "e1" gives the claim up in the same turn
    And nothing ran

  Scenario: A grant that arrives after the claim was given up frees the key
    Given a control group with a configuration
    When "e1" requests the claim "slow" and the replies are lost for 2500 ms
    And a caller claims "slow" at "e2"
    Then "slow" ran once, at "e2"

  Scenario: A host that gave up a claim and was cut off frees the key afterwards
    Given a control group with a configuration
    When "e1" requests the claim "slow" and the replies are lost for 2500 ms
    Then the claim of "slow" is recorded as not_run

  Scenario: Claims that arrive together share log entries
    Given a control group with a configuration
    When "e1" requests 256 claims in one turn
    Then all 256 are granted with at most 4 log entries

  Scenario: A host that restarts after 500 changes reaches the current state
    Given a control group with a configuration
    When 500 changes are made while "c3" is down
    And "c3" starts again and "e2" restarts blank
    Then all replicas and hosts have version 501
    And the log of every replica holds at most 300 entries

  Scenario: Hosts that have not confirmed a version are named
    Given a control group with a configuration
    When "e3" is cut off and a change is made
    Then the view names only "e3" as not confirmed
    When all faults are repaired
    Then the view names no host as not confirmed

  Scenario: A host without any heartbeat counts as not confirmed
    Given a control group with a configuration
    When "e3" is cut off and a change is made
    And all control hosts restart
    Then the view names only "e3" as not confirmed

  Scenario: A burst of changes is sent to a host at a bounded rate
    Given a control group with a configuration
    When 50 changes are made within 500 ms
    Then each entry host was sent at most 6 configurations
    And all replicas and hosts have version 51

  Scenario: A blank host without control gets the configuration from its peers
    Given a control group with a configuration
    When all control hosts are killed
    And host "e2" restarts blank
    Then "e2" has version 1 in force within 2000 ms
    And "e2" considers itself cut off within 2000 ms

  Scenario: A blank host does not activate an older version while a newer one is in reach
    Given a control group with a configuration
    When "e3" is cut off and a change is made
    And "e2" restarts blank and is reached by "e3" first, then by "e1"
    Then the first version in force at "e2" is 2

  Scenario: A holder that was frozen does not dispatch after its lease has expired
    Given a claim client with a granted claim
    When 3000 ms pass on its clock before the dispatch
    Then it may not dispatch

  Scenario: A grant that arrives at the deadline is not acted on
    Given a claim client that waits for a claim
    When the grant arrives after 2000 ms
    Then the claim is unresolved and reported as not run

  Scenario: A claim is accepted only from its own holder
    Given a control group with a configuration
    When "e2" sends a claim that names "e1" as holder
    Then no claim is recorded for it

  Scenario: A live holder is not taken over, however long its request runs
    Given a control group with a configuration
    When requests run for 20000 ms
    And "e1" requests the claim "long" and gets it
    And a caller claims "long" at "e2"
    Then "long" ran once, at "e1"

  Scenario: A new leader whose clock is days ahead expires no claim
    Given a control group with a configuration
    When the clocks of all other control hosts are 10 days ahead
    And a caller claims "paid" at "e1"
    And the leader is killed
    And a caller claims "paid" at "e2"
    Then "paid" ran once, at "e1"

  Scenario: Late and out-of-order configurations return no host to an older version
    Given a control group with a configuration
    When 5 changes are made within 500 ms
    And all versions reach "e1" again, the oldest last
    Then all replicas and hosts have version 6

  Scenario: Long answers do not make long log entries
    Given a batcher for answers of at most 1000000 bytes in a batch
    When 40 outcomes with 100000 bytes and 1 with 2000000 bytes arrive
    Then they are taken in batches of at most 1000000 bytes and the longest has no body

  Scenario: A snapshot built in slices during changes contains the state at its index
    Given a control group with a configuration
    When 40 changes are made while "c3" is down
    And "e1" requests 256 claims in one turn
    And a snapshot of the leader is built in slices of 7 while 40 changes are made
    Then it restores to the state at its index

  Scenario: A key lookup without a reply fails
    Given a claim client that knows the leader
    When it looks up a key and 2000 ms pass
    Then the lookup has failed and is not repeated

  Scenario: The heartbeat of an entry host names the leader that it knows
    Given the role of an entry host
    When it receives a heartbeat with leader "c2" of term 3
    Then its next heartbeat names "c2"

  Scenario: Claim limits follow the configuration and remain under the next leader
    Given a control group with a configuration
    When the program of the leader sets a retention of 5000 ms
    And a caller claims "paid" at "e1"
    And the leader is killed
    And a caller claims "other" at "e1"
    Then the new leader asked its program for the limits
    And every replica that runs keeps claims for 5000 ms

  Scenario: A restarted host receives the active strikes
    Given a control group with a configuration
    When "e1" reports a strike against request 7
    And host "e2" restarts blank
    Then "e2" receives 1 strike of request 7, once
