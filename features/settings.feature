Feature: Settings are checked before anything starts
  All faults are reported together, each with section, key, value and reason.

  Scenario Outline: Valid settings of each program are read
    Given valid settings of <role>
    When the settings are checked as <role>
    Then no fault of settings is reported

    Examples:
      | role    |
      | entry   |
      | control |
      | ctl     |
      | standin |

  Scenario: All faults are reported together
    Given valid settings of entry
    And the settings line "max_connections = many" under "[callers]"
    And the settings line "colour = blue" under "[log]"
    And the settings line "[shop]" at the end
    When the settings are checked as entry
    Then the fault "[callers] max_connections = 'many'" is reported
    And the fault "[log] colour = 'blue'" is reported
    And the fault "[shop]" is reported
    And 3 faults are reported

  Scenario Outline: An invalid value is refused
    Given valid settings of entry
    And the settings line "<line>" under "<section>"
    When the settings are checked as entry
    Then the fault "<fault>" is reported

    Examples:
      | section   | line                        | fault                                     |
      | [host]    | admin_address = localhost:1 | [host] admin_address = 'localhost:1'      |
      | [host]    | admin_address = 127.0.0.1   | [host] admin_address = '127.0.0.1'        |
      | [host]    | listen_address = 1.2.3.4:99999 | [host] listen_address = '1.2.3.4:99999' |
      | [host]    | name = a b                  | [host] name = 'a b'                       |
      | [callers] | max_body_bytes = 1e400      | [callers] max_body_bytes = '1e400'        |
      | [log]     | level = loud                | [log] level = 'loud'                      |
      | [timing]  | heartbeat_ms = -1           | [timing] heartbeat_ms = '-1'              |
      | [tls]     | is_off = false              | [tls] ca_file = ''                        |

  Scenario: A secret with a fault is not shown
    Given valid settings of entry
    And the settings line "admin_token = hush" under "[host]"
    When the settings are checked as entry
    Then the fault "[host] admin_token = '***'" is reported
    And no fault contains "hush"

  Scenario: Text that is not INI is reported as a fault and does not crash
    When any text is checked as settings of each program
    Then each text gave settings or a list of faults

  Scenario: A program with invalid settings exits before it opens a port
    Given valid settings of entry
    And the settings line "max_connections = many" under "[callers]"
    When the program of entry is started with them
    Then it exits with code 2 and names "[callers] max_connections = 'many'"

  Scenario Outline: A program reports every unusable TLS file
    Given valid settings of <role>
    And the settings line "is_off = false" under "[tls]"
    And the settings line "ca_file = /dev/null" under "[tls]"
    And the settings line "certificate_file = /no/such.pem" under "[tls]"
    And the settings line "key_file = /no/such.key" under "[tls]"
    When the program of <role> is started with them
    Then it exits with code 2 and names "[tls] certificate_file = '/no/such.pem'"
    And it names "[tls] ca_file = '/dev/null'" as well

    Examples:
      | role    |
      | entry   |
      | control |

  Scenario: The generated pages are complete and current
    When the generated pages are checked
    Then no fault is found

  # Guards against a program that does not start, since a bound of the platform is no
  # whole number.
  Scenario: Bounds that the platform fills in may be fractions
    Given settings of a host on the platform with the slack 35.666666666666664
    When a host on the platform reads them
    Then the slack of retries and rollouts is 35.666666666666664
