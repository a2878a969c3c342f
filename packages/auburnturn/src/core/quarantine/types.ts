/** How a call is to be treated. */
export type Treatment =
  | { readonly kind: 'usual' }
  | { readonly kind: 'alone', readonly fingerprint: string }
  | { readonly kind: 'refused', readonly fingerprint: string }
