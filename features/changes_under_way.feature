Feature: A change that comes into force harms no request under way
  Each request ends with a whole answer, a true refusal or, at its own time limit, 504.
  What waits is refused at once when nothing can serve it any more, nothing is counted
  twice, and each slot is released.

  Scenario: Requests that wait are refused at once when their service is dropped
    Given a routed group of 3 control hosts and 2 entry hosts
    And upstreams "m1" are listed
    And version 7 is acknowledged
    And slot requests of each entry host fill the upstreams and 3 more wait
    When version 9 without the service comes into force
    Then every slot request that waited is refused as "no_upstream" within 500 ms
    And all slots can be granted again when version 11 has the service

  Scenario Outline: A leader lost right after it added a service leaves no request without a reply
    Given a routed group of 3 control hosts and 2 entry hosts
    And version 7 without "ledger" is in force, whose upstreams are listed
    When version 9 adds "ledger" and the leader is lost <moment>
    And each entry host asks for a slot of "ledger" every 50 ms for 3000 ms
    Then every slot request was granted or refused within 1000 ms

    Examples: Moments as "moment"
      | moment                           |
      | when it has acknowledged it      |
      | when all entry hosts activate it |

  Scenario: An account that is gone and back does not spend its allowance twice
    Given a routed group of 3 control hosts and 2 entry hosts
    And 40 upstreams are listed
    And version 7 is acknowledged
    When 10000 ms pass in the routed group
    And each entry host asks for 100 units every 20 ms while the account is gone 4 times
    Then no more than 12000 units were granted in any 8000 ms

  Scenario Outline: Requests that wait, run, stream or are half read end truly when <change>
    Given a gateway that schedules an upstream by itself
    When <change> while requests are under way
    Then each request ends as it may, with "<half_read>" for what is read after the change
    And only what was answered has run, and once
    And all slots are free with the first configuration

    Examples: Changes as "change"
      | change                                   | half_read |
      | the routes are gone                      | 404       |
      | the routes move to another service       | 503       |
      | the service is gone                      | 503       |
      | the account is gone                      | 401       |
      | the key is gone                          | 401       |
      | the weights move                         | 200,503   |
      | the time limit is shorter                | 503,504   |
      | the time limit is longer                 | 200       |
      | bodies have to be smaller                | 200,413   |
      | headers have to be smaller               | 200,431   |
      | connections may be idle for 100 ms       | 200       |
      | headers have to come within 100 ms       | 200,408   |
      | the allowance is cut                     | 200,429   |
      | the priority changes                     | 200       |
      | the routes turn into streams             | 200       |
      | the service turns into one with engines  | 200       |
      | fewer connections may be open            | 200       |
      | the configuration can't be read          | 200       |
      | an older configuration arrives           | 200       |

  Scenario Outline: A kept connection obeys the newest limits on <what>
    Given a gateway that schedules an upstream by itself
    And a configuration in force that limits <what>
    And a connection on which a request was answered
    When a configuration without that limit comes into force
    And the caller sends a request with <request> on the same connection
    Then the request on the kept connection is answered with 200

    Examples: Limits as "limit"
      | what              | request               |
      | bodies            | a long body           |
      | headers           | long header fields    |
      | idle connections  | a pause before it     |

  Scenario: The real programs answer whole while routes, limits and time limits change
    Given changing programs of 3 control hosts and 6 entry hosts before 6 upstreams
    When streams are sent for 4 s while all that may change does so every 500 ms
    Then no request is left without an answer
    And no request that was sent is given up
    And each answer is whole, with all its events in order
    And the route that comes and goes is answered with 200 or 404 or 503
