Feature: Rules of the Raft protocol at one replica
  Single events are passed to one replica.

  Scenario: Copies at a quorum alone commit no entry of an earlier term
    Given a leader "a" of term 3 with a log of the terms 1, 2
    When "b" confirms the entries up to 2
    Then the commit index is 1
    When "b" confirms the entries up to 3
    Then the commit index is 3

  Scenario: A new leader answers no read before an entry of its own is committed
    Given a leader "a" of term 3 with a log of the terms 1, 2
    When a read is requested
    And "b" confirms the entries up to 2
    And "b" confirms the entries up to 2
    Then the read has no answer yet
    When "b" confirms the entries up to 3
    Then the read is answered

  Scenario: A leader changes members one step at a time, after an entry of its own
    Given a leader "a" of term 3 with a log of the terms 1, 2
    When "c" asks to join with a new disk
    Then 0 member changes were proposed
    When "b" confirms the entries up to 3
    And "c" asks to join with a new disk
    And "b" asks to join with a new disk
    Then 1 member change was proposed

  Scenario: A join request with the leader's host name is refused
    Given a leader "a" of term 3 with a log of the terms 1, 2
    And "b" confirms the entries up to 3
    When "a" asks to join with a new disk
    Then 0 member changes were proposed

  Scenario: A request does not exceed the maximum message size
    Given a leader "a" of term 3 with a log of the terms 1, 2
    And "b" confirms the entries up to 3
    When 5 commands of 400000 bytes are proposed at once
    And "b" confirms the entries up to 4
    And "b" confirms the entries up to 6
    Then the requests carry 1, 2, 2 entries

  Scenario: A refusal of entries that were acknowledged triggers no request
    Given a leader "a" of term 3 with a log of the terms 1, 2
    And "b" confirms the entries up to 3
    When 1 commands of 10 bytes are proposed at once
    And "b" refuses with the hint 1
    Then nothing is sent

  Scenario: A learner that is behind is not promoted
    Given a leader "a" of term 3 with a log of the terms 1, 2
    And "b" confirms the entries up to 3
    And "c" asks to join with a new disk
    And "b" confirms the entries up to 4
    When 5 heartbeats are answered by "b", and by the new disk of "c" with entry 2
    Then 1 member change was proposed
    When 1 heartbeats are answered by "b", and by the new disk of "c" with entry 4
    Then 2 member changes were proposed

  Scenario: A learner does not replace a voter of the same host that still answers
    Given a leader "a" of term 3 with a log of the terms 1, 2
    And "b" confirms the entries up to 3
    And "c" asks to join with a new disk
    And "b" confirms the entries up to 4
    When 5 heartbeats are answered by "b", "c", and by the new disk of "c"
    Then 1 member change was proposed

  Scenario Outline: A vote is given only to a candidate that may lead
    Given replica "a" with a log of the terms 1, 2
    And it received a request of a leader <age_ms> ms ago
    When "b" asks for a <kind> in term <term> with last entry <index> of term <of>
    Then the answer to the <kind> is <answer>

    Examples:
      | kind     | age_ms   | term | index | of | answer      |
      | vote     | 700      | 4    | 2     | 2  | granted     |
      | pre-vote | 700      | 4    | 2     | 2  | granted     |
      | vote     | 100      | 4    | 2     | 2  | not granted |
      | pre-vote | 100      | 4    | 2     | 2  | not granted |
      | vote     | 700      | 4    | 1     | 2  | not granted |
      | pre-vote | 700      | 4    | 1     | 2  | not granted |
      | vote     | 700      | 4    | 9     | 1  | not granted |
      | pre-vote | 700      | 4    | 9     | 1  | not granted |
      | vote     | 700      | 2    | 2     | 2  | not granted |
      | pre-vote | 700      | 3    | 2     | 2  | not granted |

  Scenario: A vote is given once in a term, also after a restart
    Given replica "a" with a log of the terms 1, 2
    And it received a request of a leader 700 ms ago
    When "b" asks for a vote in term 4 with last entry 2 of term 2
    Then the answer to the vote is granted
    When it restarts with what was written
    And "c" asks for a vote in term 4 with last entry 2 of term 2
    Then the answer to the vote is not granted

  Scenario Outline: A follower confirms and commits only entries that the request verified
    Given replica "a" with a log of the terms 1, 2, 2, 2
    When a leader of term 3 sends previous entry <previous> of term <of> and commit index 4
    Then the leader is answered <answer> with index <match>
    And the commit index is <commit>

    Examples:
      | previous | of | answer  | match | commit |
      | 2        | 2  | success | 2     | 2      |
      | 3        | 1  | refusal | 1     | 1      |
      | 7        | 2  | refusal | 4     | 1      |

  Scenario: A delayed request removes no entry that a later one appended
    Given replica "a" with a log of the terms 1, 2, 2, 2
    When the leader's request with entry 2 alone arrives again
    Then the log still ends at 4

  Scenario Outline: Only the host with the lowest name bootstraps, with a vote of every host
    Given the blank replica "<host>"
    When "<answering>" answer that they are blank
    And they vote for its <incarnation> disk
    Then the replica <result>

    Examples:
      | host | answering | incarnation | result        |
      | a    | b c       | own         | leads         |
      | a    | b         | own         | does not lead |
      | a    | b c       | former      | does not lead |
      | b    | a c       | own         | does not lead |

  Scenario: A host with a log answers that it is not blank
    Given replica "a" with a log of the terms 1, 2
    When "b" asks whether it is blank
    Then it answers that it is not blank

  Scenario: A host without a log answers that it is blank
    Given the blank replica "a"
    When "b" asks whether it is blank
    Then it answers that it is blank

  Scenario: A bootstrapping host leads only once the last vote has arrived
    Given the blank replica "a"
    When "b c" answer that they are blank
    And only "b" votes for it
    Then the replica does not lead

  Scenario Outline: Chunks of a snapshot are assembled in order
    Given replica "a" with a log of the terms 1, 2
    When chunks <chunks> of a snapshot arrive, after a comma from the next leader
    Then the snapshot of the chunks is <result>

    Examples:
      | chunks                       | result   |
      | 0 1 2                        | complete |
      | 0 0 1 1 2                    | complete |
      | 0 2 1                        | missing  |
      | 0 1, 2                       | missing  |
      | 0 1, 0 1 2                   | complete |

  Scenario Outline: A snapshot drops a log that contradicts it
    Given replica "a" with a log of the terms 1, 2, 2, 2
    When a complete snapshot of entry 3 of term <term> arrives
    Then <kept> entries stay after it

    Examples:
      | term | kept |
      | 2    | 1    |
      | 3    | 0    |

  Scenario: A snapshot older than the committed entries changes nothing
    Given replica "a" with a log of the terms 1, 2, 2, 2
    And a leader of term 3 sends previous entry 4 of term 2 and commit index 4
    When a complete snapshot of entry 3 of term 2 arrives
    Then no snapshot was installed

  Scenario: A snapshot contains the members as of its last entry
    Given a leader "a" of term 3 with a log of the terms 1, 2
    And "b" confirms the entries up to 3
    And "c" asks to join with a new disk
    And "b" confirms the entries up to 4
    When a snapshot of entry 3 is made
    Then it names no learners
