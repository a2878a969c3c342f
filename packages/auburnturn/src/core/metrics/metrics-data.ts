/** What each metric means, by its name without prefix; shown to Prometheus as HELP. */
export const descriptions: Readonly<Record<string, string>> = {
  calls_total: 'Calls that this node served, by verdict and cause.',
  attempts_total: 'Attempts at calls, at the own upstream or at another node.',
  retries_total: 'Attempts after the first one of a call.',
  in_flight: 'Calls that this node is serving now.',
  call_seconds: 'Time from the head of a request to the end of its answer.',
  call_added_seconds: 'Time that this node added to a call: all but waiting for a slot and for the upstream or the other node.',
  call_queue_seconds: 'Time that a call waited for a slot of the own upstream.',
  admission_running: 'Calls that run on the own upstream now.',
  admission_queued: 'Calls that wait for a slot of the own upstream now.',
  measuring_messages_total: 'Messages sent only to measure.',
  measuring_bytes_total: 'Bytes sent only to measure.',
  measuring_core_seconds_total: 'Processor time spent only to measure.',
  configuration_version: 'Highest version of the configuration in force.',
  restarts_total: 'Restarts of parts that failed.'
}
