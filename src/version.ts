/** Kept equal to package.json by a test; reading a file for it at start would cost time. */
export const version = "0.8.0";
