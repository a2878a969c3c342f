/** Longest value of a field that is written, in characters. */
export const maxValueLength = 2_000
