Feature: Numbered log events, metrics and dumps
  Operators and programs find log lines by number, name and request id.

  Scenario: The catalogue of log events is valid
    When the catalogue of log events is checked
    Then no fault is found
    And every event number is in the range of its group

  Scenario: A log line has its event, host and request
    Given log lines of host "entry-1" as JSON
    When event "peer_silent" is written for request "r-1" with peer "entry-2"
    Then the log line has number 203, host "entry-1" and request id "r-1"
    And the log line has peer "entry-2"

  Scenario: Log lines of concurrent requests have their own request ids
    Given log lines of host "entry-1" as JSON
    When two tasks write lines for requests "r-1" and "r-2" in turn
    Then each log line has the request id of its task

  Scenario: A field with a reserved name does not replace the reserved field
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

  Scenario: Log records of libraries become numbered log lines
    Given log lines of host "entry-1" as JSON
    When a library logs an error with a traceback
    Then there is 1 log line
    And the log line has number 108, host "entry-1" and request id ""
    And the log line contains the traceback
    When a library logs a cancelled task
    Then there is 1 log line

  Scenario: Lines below the level are left out
    Given log lines of host "entry-1" from level "warning"
    When event "process_started" is written
    And event "process_stopped" is written
    And event "peer_silent" is written
    Then there is 1 log line

  Scenario: A dump of any state is JSON within its size limit
    When any state is dumped with any size limit
    Then each dump is JSON and within its size limit

  Scenario: A dump marks omitted items and masks secrets
    When a state with 300 items, secrets and a caller's body is dumped with 10 items
    Then the dump shows 10 items and marks 290 as left out
    And the dump contains no secret and no part of the body

  Scenario: A dump shows the package's own objects once and names the types of others
    When metrics, an object of a library and a list that contains itself are dumped
    Then the dump shows the metrics' labels, the library's type and a recursion marker

  Scenario: Metrics are counted by tier, verdict, reason and cause
    Given the metrics of host "entry-1"
    When a request of tier 1 is answered in time, one of tier 3 refused and 500 tokens wasted
    Then the metrics show 1 good answer of tier 1 and none of tier 3
    And the metrics show the refusal of tier 3 and the 500 tokens by cause
