/** Where in a call's life a fault strikes. */
export const steps = [
  'connect', 'send-head', 'send-body', 'queued', 'running', 'answer-head', 'answer-body',
  'between-attempts', 'while-draining', 'while-starting'
] as const

export type StepName = typeof steps[number]
