/** Whether an answer that bears an id belongs to the attempt. Without an id nobody can tell whose an answer is. */
export function isAnswerToAttempt (attempt: string, answerId: string): boolean {
  return attempt !== '' && answerId === attempt
}
