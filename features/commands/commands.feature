Feature: Operators' and callers' commands
  Each has help, JSON where a machine would read it, and documented exit codes.

  Scenario: Every command explains itself
    Then each of these commands has help that names its options
      | command         | names                                    |
      | serve           | HOST, --log-level                        |
      | config check    | BASE, OVERLAYS                           |
      | job submit      | FILE, --host, --key-file, --wait, --json |
      | job list        | --host, --json                           |
      | job status      | JOB, --wait, --json                      |
      | job results     | JOB, --output                            |
      | job cancel      | JOB, --json                              |
      | hosts           | --operator, --secret-file, --json        |
      | endpoints       | --operator, --secret-file, --json        |
      | demo            | --json, --items                          |
      | standin engine  | --models, --slots                        |
    And the help of "job" documents the exit codes

  Scenario: A job from the command line, from submission to results
    Given a platform, an engine in each data centre, and a service
    And a host in each data centre
    And a key of the client account "desk"
    When a file of 5 items is submitted and waited for by command
    Then the job's status, list and results are there by command at host "b1"
    And cancelling it by command leaves it completed
    And hosts and endpoints are listed by command

  Scenario: Failures end commands with their documented codes
    Given a platform, an engine in each data centre, and a service
    And a host in each data centre
    And a key of the client account "desk"
    Then these commands end so
      | command                                 | code | says          |
      | job list --host HOST --key-file ODD     | 5    | as HTTP       |
      | job list --host NOWHERE                 | 5    | No connection |
      | job list --host nonsense                | 2    | IP:PORT       |
      | job list --host HOST                    | 0    |               |
      | job status batch_none --host HOST       | 3    | no such batch |
      | job submit /no/file --host HOST         | 2    | No such file  |
      | job list --host HOST --key-file /no/key | 2    | No such file  |
      | hosts --operator HOST                   | 3    | 404           |
      | hosts --operator OPERATOR               | 3    | secret        |
      | serve /no/host.ini                      | 2    | /no/host.ini  |
    And without a key a job command ends with 2
