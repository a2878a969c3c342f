/** Steps of a call at which a fault is injected. */
export const steps = [
  'connect', 'send-head', 'send-body', 'queued', 'running', 'answer-head', 'answer-body',
  'between-attempts', 'while-draining', 'while-starting'
] as const

/** Name of a step in the matrix, its table and its findings. */
export type StepName = typeof steps[number]
