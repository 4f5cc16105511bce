Feature: Hosts accept frames from authenticated peers only
  Frames are sent over mutual TLS. The sender of a frame must be a host in the settings,
  and the certificate of the connection must contain its name.

  Scenario Outline: A frame of a host that <claim>
    Given a host "a" that knows the peers "b" and "c", with TLS <tls>
    When a process with the certificate of "<owner>" sends it a frame as "<sender>"
    Then the frame is <fate>

    Examples:
      | claim                            | tls | owner | sender | fate     |
      | is a peer                        | on  | b     | b      | accepted |
      | uses the name of another host    | on  | b     | c      | dropped  |
      | is not in the settings           | on  | d     | d      | dropped  |
      | is a peer, without TLS           | off | b     | b      | accepted |
      | is not in the settings, no TLS   | off | d     | d      | dropped  |

  # Guards against elections that are delayed since the first votes after a pause are lost.
  Scenario: The first message after a pause arrives at a host with nothing to answer
    Given a host "a" that knows the peers "b" and "c", with TLS off
    When "b" sends it a message, and another one 2 s later
    Then both arrive, the second one within 500 ms
