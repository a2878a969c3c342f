/** Maximum length of a field value, in characters; a longer value is truncated. */
export const maxValueLength = 2_000
