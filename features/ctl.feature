Feature: The operators' command line
  A change takes effect once even if it is repeated; the command waits until it is in
  force.

  Background:
    Given 3 fake control hosts with the hand-tuned configuration
    And entry hosts that confirm immediately

  Scenario: A value is set and in force everywhere
    When the operator runs "config set policy max_queue_ms 9000"
    Then the command exits with 0
    And its output has "accepted: version 2 by ann"
    And its output has "in force on every live entry host"
    And its output has "+max_queue_ms = 9000"
    And the configuration differs only in "max_queue_ms = 9000"

  Scenario: A change whose answer is lost is applied once
    Given the next 2 answers to a change are lost
    When the operator runs "config set policy max_queue_ms 9000"
    Then the command exits with 0
    And its output has "accepted: version 2 by ann"
    And the change was proposed 3 times under one id
    And the fake configuration is at version 2

  Scenario: A command repeated with its change id is not applied twice
    When the operator runs "drain engine-1 --change_id monday-1"
    And another operator's change is accepted as version 3
    And the operator runs "drain engine-1 --change_id monday-1"
    Then the command exits with 0
    And its output has "accepted: version 2 by ann"
    And the fake configuration is at version 3

  Scenario: The later of two conflicting changes is refused with the other's author and diff
    When the operator saves the configuration and edits "max_queue_ms = 20000" to "max_queue_ms = 5"
    And another operator's change is accepted as version 2
    And the operator runs "config apply {folder}/rules.ini"
    Then the command exits with 1
    And its output has "conflict: version 2 by bea"
    And its output has "-max_queue_ms = 7"
    And its output has "+max_queue_ms = 5"
    And the fake configuration is at version 2

  Scenario: A saved configuration is applied as it was edited
    When the operator saves the configuration and edits "max_queue_ms = 20000" to "max_queue_ms = 5"
    And the operator runs "config diff {folder}/rules.ini"
    Then its output has "+max_queue_ms = 5"
    When the operator runs "config apply {folder}/rules.ini"
    Then the command exits with 0
    And the configuration differs only in "max_queue_ms = 5"

  Scenario: A file without its base version is not applied
    When the operator has a file without its base version
    And the operator runs "config apply {folder}/rules.ini"
    Then the command exits with 2
    And the fake configuration is at version 1

  Scenario: An invalid change is refused before it is proposed to any host
    When the operator runs "config set policy max_queue_ms soon"
    Then the command exits with 2
    And its errors have "[policy] max_queue_ms = 'soon'"
    And nothing was proposed

  Scenario: The leader is found on any control host
    Given the leader is "control-3"
    When the operator runs "status"
    Then the command exits with 0
    And its output has "leader control-3, term 3, configuration 1 by setup"
    And its output has "control-3  control  cardiff"
    And its output has "entry-1    entry    cardiff"

  Scenario: Without a leader the outcome is reported as unknown
    Given the next 99 answers to a change are lost
    And the operator waits at most 700 ms for a leader
    When the operator runs "config set policy max_queue_ms 9000 --change_id monday-2"
    Then the command exits with 3
    And its errors have "the outcome is unknown: repeat with --change_id monday-2"

  Scenario: A live host that does not confirm is named
    Given entry host "entry-2" stays at version 1
    When the operator runs "drain engine-1 --wait_ms 300"
    Then the command exits with 4
    And its output has "not confirmed by: entry-2"
    And the fake configuration is at version 2

  Scenario: A dead host does not delay a change, but is named
    Given entry host "entry-2" stays at version 1
    And entry host "entry-2" is dead
    When the operator runs "drain engine-1"
    Then the command exits with 0
    And its output has "not alive, get it when back: entry-2"

  Scenario: An upstream is drained, and undrained again
    When the operator runs "drain engine-1"
    Then the configuration has "is_leaving = true" for engine-1
    When the operator runs "undrain engine-1"
    Then the configuration has "is_leaving = false" for engine-1
    When the operator runs "undrain engine-1"
    Then the command exits with 0
    And the fake configuration is at version 3

  Scenario Outline: Wrong usage exits with 2 and proposes nothing
    When the operator runs "<command>"
    Then the command exits with 2
    And nothing was proposed

    Examples:
      | command                                  |
      | drain engine-9                           |
      | config set policy                        |
      | config apply {folder}/missing.ini        |
      | dump nobody                              |
      | frobnicate                               |
      | drain engine-1 --wait_ms soon            |
      | settings check {folder}/ctl.ini --role x |

  Scenario: A wrong token is reported as such
    Given the operator's token is wrong
    When the operator runs "status"
    Then the command exits with 2
    And its errors have "does not accept the token"

  Scenario Outline: The token is sent only by TLS and only to trusted hosts
    Given 1 fake control host that serves TLS
    And the operator's settings on TLS are "<tls>"
    When the operator runs "status"
    Then the command exits with <code>

    Examples:
      | tls                              | code |
      | ca_file = {folder}/certificate.pem | 0  |
      | ca_file = {folder}/other.pem     | 3    |
      | is_off = true                    | 3    |
      | ca_file = {folder}/missing.pem   | 2    |
      | is_off = false                   | 2    |

  Scenario: An import shows its changes and proposes only on request
    Given an asset register that moves engine-1 and adds engine-2
    When the operator runs "inventory import {folder}/assets.csv"
    Then its output has "data_centre: cardiff -> swansea"
    And its output has "engine-2"
    And nothing was proposed
    When the operator runs "inventory import {folder}/assets.csv --yes"
    Then the command exits with 0
    And the fake configuration is at version 2
    When the operator runs "inventory import {folder}/assets.csv --yes"
    Then its output has "register and configuration agree"
    And the fake configuration is at version 2

  Scenario Outline: Commands print JSON for programs
    When the operator runs "<command>"
    Then the command exits with 0
    And its output is JSON with "<key>"

    Examples:
      | command                                  | key            |
      | --json status                            | config_version |
      | config show --json                       | content        |
      | config history --json                    | versions       |
      | drain engine-1 --json                    | is_confirmed   |
      | requests show 1e5 --json                 | state          |
      | upstreams --json                         | upstreams      |
      | settings check {folder}/ctl.ini --json   | role           |
      | dump control-1                           | leader         |

  Scenario: The status is shown repeatedly, up to the given count
    When the operator runs "watch --count 2 --interval_ms 10"
    Then the command exits with 0
    And its output has "leader control-1" 2 times
