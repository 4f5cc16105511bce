Feature: Signals at any moment of a program's life have the effect that they should
  Programs run as processes. Signals are sent every few ms from the first instruction of
  ours on, which the mask of held signals or the first log line shows.

  # Guards against a program that is ended by a signal which it takes only later on.
  Scenario Outline: SIGHUP while <program> starts does not end it
    Given a program of <program>
    When it starts and gets SIGHUP all the while
    Then it becomes ready

    Examples: Programs as "hangups"
      | program                        |
      | a control host on the platform |
      | an entry host on the platform  |
      | a control host by itself       |
      | an entry host by itself        |

  # Guards against a stop that comes too early for its handler, or too late for it.
  Scenario Outline: SIGTERM from the start to the end of <program> stops it cleanly
    Given a program of <program>
    When it starts and gets SIGTERM all the while
    Then it ends by itself with code 0
    And it wrote log lines only, and process_stopped as the last

    Examples: Programs as "stops"
      | program                        |
      | a control host on the platform |
      | an entry host on the platform  |
      | a control host by itself       |
      | an entry host by itself        |

  # Guards against a change that is never seen, since it came before the first comparison.
  Scenario: Settings that change between their reading and the first SIGHUP are reloaded
    Given settings that were read and have changed since
    When a watcher of the settings starts
    Then the changed settings apply at once

  # Guards against a log line after process_stopped, which ends a program's log.
  Scenario: Stop signals at the end of the work are not reported
    Given a program that was told to stop
    When stop signals come just before and just after the end of its work
    Then no repeated signal is reported
