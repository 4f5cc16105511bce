Feature: Hosts of two builds read each other's messages and disks
  While hosts are replaced one after the other, builds run side by side. The recordings of
  older builds are in `features/recorded`, each under its commit. A build is recorded by

      PYTHONPATH=SOURCE .venv/bin/python tools/record_build.py features/recorded/COMMIT

  and whether another build reads it is told by the same command with `--read`.

  Scenario Outline: Messages of an older build are read with other values: <build>
    Given the recording of the build <build>
    When all its messages are decoded
    Then each field has the value that was sent
    And each field that it doesn't know has its default

    Examples: Builds
      | build   |
      | 770f6cc |
      | 5bb71e4 |
      | 273f88b |

  Scenario Outline: A control host starts on the disk of an older build: <build>
    Given the recording of the build <build>
    When its data folder is opened
    Then configuration, term, vote, members and log are those that it wrote
    And the data folder accepts and preserves new entries

    Examples: Builds
      | build   |
      | 770f6cc |
      | 5bb71e4 |
      | 273f88b |

  Scenario Outline: A number of a field means something else than in an older build: <build>
    Given the recording of the build <build>
    Then no field number has another name or type than in that build
    And this build has all messages and fields of that build

    Examples: Builds
      | build   |
      | 770f6cc |
      | 5bb71e4 |
      | 273f88b |

  Scenario Outline: An older build reads this build's messages otherwise: <build>
    Given the recording of the build <build>
    When examples of all messages are decoded as that build does
    Then each field that it knows has the value that was sent

    Examples: Builds
      | build   |
      | 770f6cc |
      | 5bb71e4 |
      | 273f88b |

  Scenario Outline: A new message or value breaks the streams to an older build: <build>
    Builds up to 770f6cc end the stream on which one comes that they don't know. Those of
    rollouts are sent only after an operator has ordered one.

    Given the recording of the build <build>
    Then of this build's messages it doesn't know "<messages>"
    And of this build's values it doesn't know "<values>"

    Examples: Builds
      | build   | messages                                                        | values                        |
      | 770f6cc | RolloutEnd, RolloutOrder, RolloutStages, RolloutUsage             | none                          |
      | 5bb71e4 | LinkReport, RolloutEnd, RolloutOrder, RolloutStages, RolloutUsage | relay_lost, relay_unreachable |
      | 273f88b | LinkReport, RolloutEnd, RolloutOrder, RolloutStages, RolloutUsage | relay_lost, relay_unreachable |

  Scenario: An end that names no rejections is read as none at all by an older build
    Given the recording of the build 770f6cc
    When a release that names no rejections is decoded as that build does
    Then it reads -1 rejections a second

  Scenario Outline: One message of a newer build breaks the stream of its host: <message>
    Given a host that receives frames
    When a frame holds a message <message> between two others
    Then both other messages arrive, and those of the next frame
    And the log tells once that the peer's message was left out

    Examples: Messages
      | message                          |
      | of an unknown kind               |
      | with an unknown value            |
      | with a command of unknown kind   |

  Scenario: A control host reads the disk of a newer build with a command left out
    Given the recording of the build 770f6cc
    When its data folder is opened
    And a newer build adds a command of an unknown kind to it
    Then it can't be opened, and the error names the file and the command

  Scenario: Upstreams count as brittle since a host of an older build says nothing of it
    Given the recording of the build 5bb71e4
    When upstreams without room reject requests for 300 ms and have room again
    And the same happens while that build reports every second end of a request
    Then as many requests are served as without these reports

  Scenario: A host of an older build lifts what brittle upstreams have said
    Given the recording of the build 5bb71e4
    And 6 entry hosts in virtual time before 4 brittle upstreams
    When all upstreams say that they fall over at 6 rejections in a second
    And every second end of a request is reported by a host of that build
    And 3000 ms of requests pass, one each 60 ms at each host
    And each upstream has room for 2 requests
    And 10000 ms of requests pass, one each 60 ms at each host
    Then the upstreams fell over at most 2 times
    And half of the room was used
