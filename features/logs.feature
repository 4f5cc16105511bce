Feature: Numbered log events, metrics and dumps
  Operators and programs read what a process does by number, name and request id.

  Scenario: The catalogue is sound
    When the catalogue of log events is checked
    Then no fault is found in it
    And every event number lies in the range of its group

  Scenario: A line names its event, host and request
    Given log lines of host "entry-1" as JSON
    When event "peer_silent" is written for request "r-1" with peer "entry-2"
    Then the log line has number 203, host "entry-1" and request id "r-1"
    And the log line has peer "entry-2"

  Scenario: Two requests at once keep their own ids in their lines
    Given log lines of host "entry-1" as JSON
    When two tasks write lines for requests "r-1" and "r-2" in turn
    Then each log line has the request id of its task

  Scenario: A field with the name of a fixed one does not replace it
    Given log lines of host "entry-1" as JSON
    When event "raft_join_refused" is written with host "stranger"
    Then the log line has host "entry-1" and field_host "stranger"

  Scenario Outline: Secrets never reach a log line
    Given log lines of host "entry-1" as <form>
    When event "process_started" is written with every kind of secret
    Then no log line contains a secret

    Examples:
      | form    |
      | json    |
      | console |

  Scenario: An event that is not in the catalogue is refused
    Given log lines of host "entry-1" as JSON
    When event "no_such_event" is written
    Then it is refused as unknown

  Scenario: What a library reports becomes a numbered line
    Given log lines of host "entry-1" as JSON
    When a library reports an error with a traceback
    Then there is 1 log line
    And the log line has number 108, host "entry-1" and request id ""
    And the log line holds the traceback
    When a library reports cancelled work
    Then there is 1 log line

  Scenario: Lines below the level are left out
    Given log lines of host "entry-1" from level "warning"
    When event "process_started" is written
    And event "process_stopped" is written
    And event "peer_silent" is written
    Then there is 1 log line

  Scenario: A dump of any state is JSON within its bound
    When any state is dumped with any bound
    Then each dump is JSON and within its bound

  Scenario: A dump says what it leaves out and masks secrets
    When a state with 300 items, secrets and a caller's body is dumped with 10 items
    Then the dump shows 10 items and says that 290 are left out
    And the dump contains no secret and no part of the body

  Scenario: A dump follows our own objects, once, and names foreign ones
    When metrics, an object of a library and a list that holds itself are dumped
    Then the dump shows the metrics' labels, the library's type and the repeat

  Scenario: Metrics are counted by tier, verdict, reason and cause
    Given the metrics of host "entry-1"
    When a request of tier 1 is answered in time, one of tier 3 refused and 500 tokens wasted
    Then the metrics show 1 good answer of tier 1 and none of tier 3
    And the metrics show the refusal of tier 3 and the 500 tokens by cause
