Feature: Each mistake in the settings has a clear message of its own
  A message names the file, the section, the option, what was read and what is
  allowed. The tables put one mistake at a time into files that have none.

  Scenario: Without a mistake there is no message
    Then the settings without a mistake are read without one

  Scenario: Values of the base file
    Then each of these mistakes alone has its message
      | mistake                    | file     | instead of           | write                   | section             | option        | read            | allowed                      |
      | a rate that is no number   | base.ini | rate = 20            | rate = many             | account desk        | rate          | many            | a number from 0 to           |
      | a negative rate            | base.ini | rate = 20            | rate = -1               | account desk        | rate          | -1              | requests a second            |
      | a rate without end         | base.ini | rate = 20            | rate = inf              | account desk        | rate          | inf             | a number from 0 to           |
      | a rate that is empty       | base.ini | rate = 20            | rate =                  | account desk        | rate          |                 | a number from 0 to           |
      | a rate with a comment      | base.ini | rate = 20            | rate = 20 ; a lot       | account desk        | rate          | 20 ; a lot      | a number from 0 to           |
      | a rate left out            | base.ini | rate = 20            |                         | account desk        | rate          |                 | this option is needed        |
      | a burst below one          | base.ini | burst = 40           | burst = 0               | account desk        | burst         | 0               | a number from 1 to           |
      | a weight of nothing        | base.ini | weight = 2           | weight = 0              | data_centre west    | weight        | 0               | a number from 0.001          |
      | an option misspelt         | base.ini | burst = 40           | brust = 40              | account desk        | brust         | brust           | did you mean 'burst'?        |
      | slots that are no integer  | base.ini | slots = 16           | slots = 1.5             | limits              | slots         | 1.5             | a whole number from 2        |
      | too many slots             | base.ini | slots = 16           | slots = 99999           | limits              | slots         | 99999           | to 1024                      |
      | a kind that does not exist | base.ini | kind = model         | kind = modell           | route chat          | kind          | modell          | one of model, service        |
      | a flag that is neither     | base.ini | open = yes           | open = maybe            | route notices       | open          | maybe           | yes or no                    |
      | a path without a slash     | base.ini | path = /bookings/*   | path = bookings/*       | route bookings      | path          | bookings/*      | starts with '/'              |
      | a path with a query        | base.ini | path = /bookings/*   | path = /bookings?x      | route bookings      | path          | /bookings?x     | with no space, '?'           |
      | a star within a path       | base.ini | path = /bookings/*   | path = /*/bookings      | route bookings      | path          | /*/bookings     | '*' at its end only          |
      | a method in small letters  | base.ini | methods = GET, POST  | methods = get           | route bookings      | methods       | get             | one of GET, HEAD             |
      | a deadline of nothing      | base.ini | deadline = 30        | deadline = 0            | route chat          | deadline      | 0               | seconds                      |
      | an address without a port  | base.ini | 192.0.2.1:9000       | 192.0.2.1               | endpoint engine-1   | address       | 192.0.2.1       | as 192.0.2.1:8080            |
      | an address by name         | base.ini | 192.0.2.1:9000       | engine:9000             | endpoint engine-1   | address       | engine:9000     | an IPv4 number               |
      | a port that is too large   | base.ini | 192.0.2.1:9000       | 192.0.2.1:90000         | endpoint engine-1   | address       | 192.0.2.1:90000 | a port from 1 to 65535       |
      | a name in capitals         | base.ini | [limits]             | [account Desk]\n[limits] | account Desk        |               | Desk            | [account NAME], NAME up to   |
      | a section without its name | base.ini | [limits]             | [model]\n[limits]       | model               |               |                 | [model NAME]                 |

  Scenario: The form of the files
    Then each of these mistakes alone has its message
      | mistake                    | file     | instead of           | write                   | section             | option        | read            | allowed                      |
      | a section misspelt         | base.ini | [limits]             | [limit]                 | limit               |               | limit           | did you mean 'limits'?       |
      | a section of another sort  | base.ini |                      | [teapot x]              | teapot x            |               | teapot x        | one of account, batch, data_c|
      | a section twice            | base.ini |                      | [account desk]          | account desk        |               | account desk    | each section once            |
      | an option twice            | base.ini | rate = 20            | rate = 20\nrate = 21    | account desk        | rate          | rate = 21       | each option once             |
      | a line of another form     | base.ini | rate = 20            | rate = 20\nfaster!      | account desk        |               | faster!         | option = value               |
      | an option before a section | base.ini | \n[data_centre west] | rate = 1\n[data_centre west] |                |               | rate = 1        | a [section] before any       |

  Scenario: What does not fit together
    Then each of these mistakes alone has its message
      | mistake                    | file     | instead of           | write                   | section             | option        | read            | allowed                      |
      | an account that is unknown | base.ini | accounts = desk\n    | accounts = dask\n       | route bookings      | accounts      | dask            | did you mean 'desk'?         |
      | an account named twice     | base.ini | accounts = desk\n    | accounts = desk, desk\n | route bookings      | accounts      | desk, desk      | each once                    |
      | a model's unknown account  | base.ini | desk, shops          | desk, shop              | model small         | accounts      | shop            | did you mean 'shops'?        |
      | an endpoint that is unknown| base.ini | endpoints = service-1| endpoints = service-2   | route bookings      | endpoints     | service-2       | did you mean 'service-1'?    |
      | a model that is unknown    | base.ini | models = small       | models = smal           | endpoint engine-1   | models        | smal            | did you mean 'small'?        |
      | an unknown data centre     | base.ini | data_centre = west   | data_centre = vest      | endpoint engine-1   | data_centre   | vest            | did you mean 'west'?         |
      | a service's empty route    | base.ini | endpoints = service-1\n| \n                    | route bookings      | endpoints     |                 | at least one endpoint        |
      | a service route to engines | base.ini | endpoints = service-1| endpoints = engine-1    | route bookings      | endpoints     | engine-1        | endpoints of the kind service|
      | a model route's endpoints  | base.ini | deadline = 30        | endpoints = engine-1    | route chat          | endpoints     | engine-1        | engines are found by         |
      | an open route's accounts   | base.ini | open = yes           | open = yes\naccounts = desk | route notices   | accounts      | desk            | the route is open to all     |
      | an engine without models   | base.ini | models = small       |                         | endpoint engine-1   | models        |                 | at least one model           |
      | a service with models      | base.ini | 192.0.2.2:9000       | 192.0.2.2:9000\nmodels = small | endpoint service-1 | models   | small           | none: this is a plain service|
      | two endpoints, one address | base.ini | 192.0.2.2:9000       | 192.0.2.1:9000          | endpoint service-1  | address       | 192.0.2.1:9000  | that of [endpoint engine-1]  |
      | two routes, one path       | base.ini | path = /notices/*    | path = /bookings/*      | route notices       | path          | /bookings/*     | that of [route bookings]     |
      | a path of the host itself  | base.ini | path = /notices/*    | path = /v1/files/*      | route notices       | path          | /v1/files/*     | the host does not serve      |
      | repeating what is not passed | base.ini | repeatable = GET   | repeatable = PUT        | route bookings      | repeatable    | PUT             | methods that the route passes|

  Scenario: Overlays
    Then each of these mistakes alone has its message
      | mistake                    | file     | instead of           | write                   | section             | option        | read            | allowed                      |
      | an overlay's bad value     | east.ini | rate = 30            | rate = plenty           | account desk        | rate          | plenty          | a number from 0 to           |
      | an overlay's option        | east.ini | rate = 30            | rates = 30              | account desk        | rates         | rates           | did you mean 'rate'?         |
      | an overlay's half account  | east.ini |                      | [account third]\nrate = 1 | account third     | burst         |                 | this option is needed        |
      | an overlay's idle engine   | east.ini |                      | [endpoint engine-9]\naddress = 192.0.2.9:9\ndata_centre = east\nkind = engine | endpoint engine-9 | models | | at least one model |
      | an overlay's unknown name  | east.ini |                      | [route chat]\naccounts = dusk | route chat    | accounts      | dusk            | did you mean 'desk'?         |
      | an overlay of nowhere      | vest.ini |                      | [limits]                |                     |               | vest            | did you mean 'west'?         |
      | a section misspelt there   | east.ini |                      | [acount desk]           | acount desk         |               | acount desk     | did you mean 'account'?      |

  Scenario: Host files
    Then each of these mistakes alone has its message
      | mistake                    | file     | instead of           | write                   | section             | option        | read            | allowed                      |
      | a host without a name      | host.ini | name = w1            |                         | host                | name          |                 | this option is needed        |
      | an address with a port     | host.ini | 192.0.2.10           | 192.0.2.10:80           | host                | address       | 192.0.2.10:80   | an IPv4 number               |
      | a port that is no number   | host.ini | callers_port = 8080  | callers_port = http     | host                | callers_port  | http            | a whole number from 0        |
      | two ports that are one     | host.ini | peer_port = 8081     | peer_port = 8080        | host                | peer_port     | 8080            | another port than callers_port |
      | too long a drain           | host.ini | drain_seconds = 5    | drain_seconds = 1000    | host                | drain_seconds | 1000            | to 600 (seconds)             |
      | a folder that is not there | host.ini | drain_seconds = 5    | data_folder = /not/here | host                | data_folder   | /not/here       | a folder that exists         |
      | no platform                | host.ini | addresses = 192.0.2.3:2379 | addresses =       | platform            | addresses     |                 | at least 1                   |
      | a platform by name         | host.ini | 192.0.2.3:2379       | store:2379              | platform            | addresses     | store:2379      | an IPv4 number               |
      | a platform's option        | host.ini | timeout = 1          | time_out = 1            | platform            | time_out      | time_out        | did you mean 'timeout'?      |
      | no file with the secret    | host.ini | secret_file =        | secret_file = /no       | peers               | secret_file   | *               | a file that can be read      |
      | a seed without a port      | host.ini | 192.0.2.11:8081      | 192.0.2.11              | peers               | seeds         | 192.0.2.11      | and a port from 1            |
      | a head that is too small   | host.ini | head_bytes = 32768   | head_bytes = 10         | callers             | head_bytes    | 10              | (bytes)                      |
      | a section misspelt         | host.ini | [callers]            | [caller]                | caller              |               | caller          | did you mean 'callers'?      |
      | a certificate, no key      | host.ini | head_bytes = 32768   | tls_certificate = /no   | callers             | tls_key       |                 | since tls_certificate is given |
      | TLS without authorities    | host.ini | seeds = 192.0.2.11:8081 | tls_certificate = /no\ntls_key = /no | peers | tls_authorities |              | since tls_certificate, tls_key |
      | certificates not there     | host.ini | head_bytes = 32768   | tls_certificate = /no\ntls_key = /no | callers | tls_certificate | *             | PEM files that can be read   |

  Scenario: All mistakes are told in one run, each once and in its own file
    When 6 mistakes are made at once, of which 4 are in the base
    Then 6 messages come, of which 4 name the base file
    And config check prints them all and ends with 3
